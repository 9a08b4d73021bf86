package pki

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

func TestVerifyNode(t *testing.T) {
	uri, err := url.Parse("urn:hawthornrill:node:taf-1")
	assert.NilError(t, err)
	cases := []struct {
		name        string
		certificate x509.Certificate
		node        domain.NodeID
		err         error
	}{
		{"dns", x509.Certificate{DNSNames: []string{"usk-1", "taf-1"}}, "taf-1", nil},
		{"uri", x509.Certificate{URIs: []*url.URL{uri}}, "taf-1", nil},
		{"other", x509.Certificate{DNSNames: []string{"taf-10"}, URIs: []*url.URL{uri}}, "taf-2", ErrNameMismatch},
		{"none", x509.Certificate{}, "taf-1", ErrNameMismatch},
		{"empty node", x509.Certificate{DNSNames: []string{""}}, "", ErrNameMismatch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.ErrorIs(t, VerifyNode(&c.certificate, c.node), c.err)
		})
	}
}

// handshake runs a TLS handshake between two nodes and returns the errors of both
// ends.
func handshake(server, client Credentials, dialled domain.NodeID) (serverErr, clientErr error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	go func() {
		err := tls.Server(a, ServerConfig(server)).Handshake()
		_ = a.Close()
		done <- err
	}()
	connection := tls.Client(b, ClientConfig(client, dialled))
	clientErr = connection.Handshake()
	if clientErr != nil {
		_ = b.Close()
	} else {
		// With TLS 1.3 the client learns from its first read whether the server accepted
		// its certificate.
		_, _ = connection.Read(make([]byte, 1))
	}
	return <-done, clientErr
}

func TestHandshakeChecksBothSides(t *testing.T) {
	now := time.Now()
	trusted, err := NewAuthority(now)
	assert.NilError(t, err)
	untrusted, err := NewAuthority(now)
	assert.NilError(t, err)
	bundle := func(a *Authority, node domain.NodeID, at time.Time) Credentials {
		b, err := a.Bundle(node, at)
		assert.NilError(t, err)
		return NewStatic(b)
	}
	valid := bundle(trusted, "b", now)
	cases := []struct {
		name           string
		server, client Credentials
		dialled        domain.NodeID
		serverOK       bool
		clientOK       bool
	}{
		{"valid", valid, bundle(trusted, "a", now), "b", true, true},
		{"another node answers", valid, bundle(trusted, "a", now), "c", false, false},
		{"unknown authority", valid, bundle(untrusted, "a", now), "b", false, false},
		{"expired server", bundle(trusted, "b", now.Add(-2*Validity)), bundle(trusted, "a", now), "b", false, false},
		{"expired client", valid, bundle(trusted, "a", now.Add(-2*Validity)), "b", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serverErr, clientErr := handshake(c.server, c.client, c.dialled)
			assert.Equal(t, serverErr == nil, c.serverOK, "%v", serverErr)
			assert.Equal(t, clientErr == nil, c.clientOK, "%v", clientErr)
		})
	}
}

func writePEMFiles(t *testing.T, dir string, files *PEM) Paths {
	t.Helper()
	paths := Paths{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	assert.NilError(t, os.WriteFile(paths.Certificate, files.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(paths.Key, files.Key, 0o600))
	assert.NilError(t, os.WriteFile(paths.Authorities, files.Authorities, 0o600))
	return paths
}

func TestFilesReloadKeepsLastValidBundle(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		authority, err := NewAuthority(time.Now())
		assert.NilError(t, err)
		first, err := authority.Issue("a", time.Now())
		assert.NilError(t, err)
		second, err := authority.Issue("a", time.Now())
		assert.NilError(t, err)
		paths := writePEMFiles(t, dir, first)
		var reloads []error
		files, err := LoadFiles(paths, func(err error) { reloads = append(reloads, err) })
		assert.NilError(t, err)
		before := files.Current()

		replaceFiles := func(files *PEM, at time.Time) {
			writePEMFiles(t, dir, files)
			for _, path := range []string{paths.Certificate, paths.Key, paths.Authorities} {
				assert.NilError(t, os.Chtimes(path, at, at))
			}
		}
		replaceFiles(&PEM{Certificate: []byte("rubbish"), Key: second.Key, Authorities: second.Authorities}, time.Now().Add(time.Hour))
		assert.Equal(t, files.Current(), before)
		time.Sleep(RecheckInterval)
		assert.Equal(t, files.Current(), before)
		assert.Equal(t, len(reloads), 1)
		assert.ErrorIs(t, reloads[0], ErrBadFile)

		replaceFiles(second, time.Now().Add(2*time.Hour))
		time.Sleep(RecheckInterval)
		assert.Assert(t, files.Current() != before)
		assert.Equal(t, len(reloads), 2)
		assert.NilError(t, reloads[1])
	})
	_, err := LoadFiles(Paths{Certificate: filepath.Join(dir, "none")}, nil)
	assert.ErrorIs(t, err, ErrBadFile)
}
