package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// serviceCall is a caller's POST to a plain service.
type serviceCall struct {
	// key is the organisation's API key, requestKey the call's idempotency key.
	key, requestKey string
	path, body      string
}

// send sends the call to a node and returns the response body.
func (c serviceCall) send(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+c.path, strings.NewReader(c.body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", c.requestKey)
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return "", statusError(response)
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
