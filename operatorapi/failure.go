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

// problemType is the media type of problem documents.
const problemType = "application/problem+json"

// respond answers with the problem document of an error.
func respond(c echo.Context, err error) error {
	failure := failureOf(err)
	body, err := json.Marshal(failure)
	if err != nil {
		return err
	}
	return c.Blob(failure.Status, problemType, body)
}

func badRequest(err error) *Failure {
	return &Failure{Title: "Bad request", Status: http.StatusBadRequest, Detail: err.Error(), Outcome: OutcomeNotAccepted}
}

// failureOf turns the errors of the layers below into what the operator is told.
func failureOf(err error) *Failure {
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
