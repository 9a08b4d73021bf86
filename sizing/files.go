package sizing

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// filePermissions is the mode of the constants file and the page if they are created.
const filePermissions = 0o644

// FitFile reads benchmark output and refits the slopes of the constants file at path
// that it has results for. It returns the names of the refitted slopes. The file is
// written only if all of its constants pass Check after the refit.
func FitFile(path string, output io.Reader, day time.Time) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConstants, err)
	}
	c, err := DecodeConstants(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	measurements, err := ReadMeasurements(output)
	if err != nil {
		return nil, err
	}
	fitted, err := c.Refit(measurements, day)
	if err := errors.Join(err, c.Check()); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if err := c.Write(&b); err != nil {
		return nil, err
	}
	return fitted, os.WriteFile(path, b.Bytes(), filePermissions)
}

// RenderFile computes the tables of the page from the constants file and writes them
// into the page.
func RenderFile(constantsPath, pagePath string) error {
	text, err := os.ReadFile(constantsPath)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConstants, err)
	}
	old, err := os.ReadFile(pagePath)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPage, err)
	}
	rendered, err := Render(bytes.NewReader(text), string(old))
	if err != nil {
		return err
	}
	return os.WriteFile(pagePath, []byte(rendered), filePermissions)
}

// Render returns the page with its tables computed from the constants.
func Render(constants io.Reader, page string) (string, error) {
	c, err := ReadConstants(constants)
	if err != nil {
		return "", err
	}
	r, err := NewRenderer(c)
	if err != nil {
		return "", err
	}
	sections, err := r.Sections()
	if err != nil {
		return "", err
	}
	return InsertSections(page, sections)
}
