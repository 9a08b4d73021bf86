package service

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
)

// FaultRequest is the body of POST /standin/faults: the faults to change, and
// one-off events such as a crash.
type FaultRequest struct {
	Faults
	Crash bool `json:"crash,omitempty"`
	// ForMillis is the time after which the faults that this request sets are cleared,
	// unless a later one has set them; 0 keeps them until they are changed.
	ForMillis int `json:"for_ms,omitempty"`
}

func (s *Service) addControlRoutes(router *echo.Echo) {
	router.GET("/standin/runs", s.getRuns)
	router.GET("/standin/faults", s.getFaults)
	router.POST("/standin/faults", s.changeFaults)
}

func (s *Service) getRuns(c echo.Context) error   { return c.JSON(http.StatusOK, s.Runs()) }
func (s *Service) getFaults(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) }

func (s *Service) changeFaults(c echo.Context) error {
	request := FaultRequest{Faults: s.Faults()}
	names, err := api.DecodeNamed(c, &request)
	if err != nil {
		return err
	}
	s.SetFaults(request.Faults)
	s.timed.Set(names, time.Duration(request.ForMillis)*time.Millisecond, func(names []string) {
		s.SetFaults(api.Without(s.Faults(), names))
	})
	if request.Crash {
		s.Crash()
	}
	return c.JSON(http.StatusOK, s.Faults())
}
