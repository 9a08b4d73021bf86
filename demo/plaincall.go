package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// plainCall is a caller's POST to a plain service.
type plainCall struct {
	// key is the organisation's, requestKey the call's own.
	key, requestKey string
	path, body      string
}

// send makes the call at a node and returns the body of the answer.
func (p plainCall) send(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+p.path, strings.NewReader(p.body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+p.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", p.requestKey)
	response, err := http.DefaultClient.Do(request)
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
