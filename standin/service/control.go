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
	// ForMillis is the time after which all faults are cleared; 0 keeps them until
	// they are changed.
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
	if err := api.DecodeStrict(c, &request); err != nil {
		return err
	}
	s.SetFaults(request.Faults)
	if request.ForMillis > 0 {
		time.AfterFunc(time.Duration(request.ForMillis)*time.Millisecond, func() { s.SetFaults(Faults{}) })
	}
	if request.Crash {
		s.Crash()
	}
	return c.JSON(http.StatusOK, s.Faults())
}
