// Package api holds what the HTTP interfaces of all stand-ins share.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"
)

// ErrBadRequest means that a request makes no sense; it is answered with 400.
var ErrBadRequest = errors.New("api: bad request")

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 1 << 20

// DecodeStrict reads a small JSON body into value, whose present content stands
// for what the body leaves out. Unknown members are errors.
func DecodeStrict(c echo.Context, value any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxControlBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("%w: text after the JSON value", ErrBadRequest)
	}
	return nil
}

// QueryUint reads a whole number from the query, 0 if it is absent.
func QueryUint(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s = %q: must be a whole number", ErrBadRequest, name, text)
	}
	return n, nil
}

// PathValue returns a part of the path, unescaped. The router leaves it escaped
// if the path as a whole can't be told from its unescaped form.
func PathValue(c echo.Context, name string) string {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value
	}
	unescaped, err := url.PathUnescape(value)
	if err != nil {
		return value
	}
	return unescaped
}
