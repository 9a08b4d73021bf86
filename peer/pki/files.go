package pki

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// RecheckInterval is how often, at most, Files looks whether its files changed.
const RecheckInterval = 10 * time.Second

// Paths name PEM files.
type Paths struct {
	Certificate string
	Key         string
	// Authorities holds the certificates of the trusted authorities.
	Authorities string
}

// Files are credentials that are read again when their files change. The files
// are looked at when a handshake needs them, no more often than RecheckInterval.
// If the new files can't be used, the last good bundle stays in use.
type Files struct {
	paths    Paths
	onReload func(error)
	bundle   atomic.Pointer[Bundle]

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
}

// stamp tells one state of a file from another.
type stamp struct {
	modified time.Time
	size     int64
}

// LoadFiles reads the files. onReload, if not nil, is called after each later
// change with nil or the reason why the change could not be used.
func LoadFiles(paths Paths, onReload func(error)) (*Files, error) {
	f := &Files{paths: paths, onReload: onReload, checked: time.Now()}
	stamps, err := paths.stamps()
	if err != nil {
		return nil, err
	}
	bundle, err := paths.load()
	if err != nil {
		return nil, err
	}
	f.stamps = stamps
	f.bundle.Store(bundle)
	return f, nil
}

// Current returns the last good bundle.
func (f *Files) Current() *Bundle {
	f.recheck(time.Now())
	return f.bundle.Load()
}

// recheck reads the files again if it is time and they have changed.
func (f *Files) recheck(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.checked) < RecheckInterval {
		return
	}
	f.checked = now
	stamps, err := f.paths.stamps()
	if err == nil && stamps == f.stamps {
		return
	}
	f.report(f.reload(stamps, err))
}

// reload takes the changed files in use, or returns why it can't.
func (f *Files) reload(stamps [3]stamp, err error) error {
	if err != nil {
		return err
	}
	bundle, err := f.paths.load()
	if err != nil {
		return err
	}
	f.stamps = stamps
	f.bundle.Store(bundle)
	return nil
}

func (f *Files) report(err error) {
	if f.onReload != nil {
		f.onReload(err)
	}
}

func (p Paths) stamps() ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range []string{p.Certificate, p.Key, p.Authorities} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, fmt.Errorf("%w: %w", ErrBadFile, err)
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (p Paths) load() (*Bundle, error) {
	certificate, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadFile, err)
	}
	pem, err := os.ReadFile(p.Authorities)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadFile, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s: %w", ErrBadFile, p.Authorities, errors.New("no certificates"))
	}
	return &Bundle{Certificate: certificate, Roots: roots}, nil
}
