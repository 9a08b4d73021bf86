// Package api holds helpers shared by the HTTP interfaces of the simulated
// services.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/labstack/echo/v4"
)

// ErrBadRequest means that a request is invalid; the response status is 400.
var ErrBadRequest = errors.New("api: bad request")

// maxControlBytes is the maximum body size of a control request.
const maxControlBytes = 1 << 20

// DecodeStrict decodes a JSON body of at most 1 MiB into value. Members that the
// body omits keep their current values; unknown members are errors.
func DecodeStrict(c echo.Context, value any) error {
	return decodeStrict(http.MaxBytesReader(c.Response(), c.Request().Body, maxControlBytes), value)
}

// DecodeNamed is DecodeStrict, and returns the names of the members that the body has.
func DecodeNamed(c echo.Context, value any) (names []string, err error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxControlBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	if err := decodeStrict(bytes.NewReader(body), value); err != nil {
		return nil, err
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return slices.Collect(maps.Keys(members)), nil
}

func decodeStrict(body io.Reader, value any) error {
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

// QueryUint returns a non-negative integer from the query, or 0 if it is absent.
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

// PathValue returns a path parameter, unescaped. The router leaves parameters
// escaped if the request's URL has a RawPath, that is, if the escaped path can't
// be derived from the unescaped one.
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
