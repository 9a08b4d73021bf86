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

// RecheckInterval is the minimum time between two checks of Files for changed files.
const RecheckInterval = 10 * time.Second

// Paths are the paths of the PEM files of a node's credentials.
type Paths struct {
	Certificate string
	Key         string
	// Authorities is the file with the certificates of the trusted authorities.
	Authorities string
}

// Files is Credentials that are reloaded when their files change. The files are
// checked when a handshake needs the credentials, at most once per
// RecheckInterval. If the changed files are invalid, the last valid bundle stays
// in use.
type Files struct {
	paths    Paths
	onReload func(error)
	bundle   atomic.Pointer[Bundle]

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
}

// stamp identifies a version of a file.
type stamp struct {
	modified time.Time
	size     int64
}

// LoadFiles reads the files. onReload, if not nil, is called after each later
// change, with nil or with the error that prevented the reload.
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

// Current returns the last valid bundle, after reloading changed files.
func (f *Files) Current() *Bundle {
	f.recheck(time.Now())
	return f.bundle.Load()
}

// recheck reloads the files if they have changed, unless they were checked within
// RecheckInterval.
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

// reload loads the changed files and replaces the bundle. err is the error of reading
// the stamps.
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
		return nil, fmt.Errorf("%w: %s: %w", ErrBadFile, p.Authorities, errors.New("contains no certificates"))
	}
	return &Bundle{Certificate: certificate, Roots: roots}, nil
}
