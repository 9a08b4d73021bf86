package operatorapi

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/config/agreed"
	"hawthornrill.example/hawthornrill/document"
)

// problemMediaType is the media type of problem documents.
const problemMediaType = "application/problem+json"

// respondProblem writes the problem document of an error as the response.
func respondProblem(c echo.Context, err error) error {
	failure := toFailure(err)
	body, err := json.Marshal(failure)
	if err != nil {
		return err
	}
	return c.Blob(failure.Status, problemMediaType, body)
}

func badRequest(err error) *Failure {
	return &Failure{Title: "Bad request", Status: http.StatusBadRequest, Detail: err.Error(), Outcome: OutcomeNotAccepted}
}

// toFailure maps an error of the lower layers to the problem document that the
// operator receives.
func toFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	failure = &Failure{Title: "The store can't be reached", Status: http.StatusServiceUnavailable, Detail: err.Error()}
	switch {
	case errors.As(err, &failure.Conflicts):
		failure.Title, failure.Status = "Somebody else has changed these cells", http.StatusConflict
	case errors.As(err, &failure.Problems):
		failure.Title, failure.Status = "The table is not valid", http.StatusUnprocessableEntity
	case errors.Is(err, agreed.ErrGenerationMismatch):
		failure.Title, failure.Status = "The table has been changed meanwhile", http.StatusConflict
	case errors.Is(err, document.ErrNoVersion):
		failure.Title, failure.Status = "No such generation", http.StatusNotFound
	case errors.Is(err, config.ErrFormat), errors.Is(err, config.ErrNewerFormat):
		failure.Title, failure.Status = "The table can't be read by this node", http.StatusInternalServerError
	}
	switch {
	case errors.Is(err, document.ErrNotAccepted):
		failure.Outcome = OutcomeNotAccepted
	case errors.Is(err, document.ErrUnknownOutcome):
		failure.Title, failure.Status, failure.Outcome = "It is not known yet whether the edit was accepted", http.StatusGatewayTimeout, OutcomeUnknown
	}
	return failure
}
