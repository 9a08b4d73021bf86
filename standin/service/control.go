package service

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
)

// FaultRequest is the body of POST /standin/faults: the faults to change, and what
// happens once.
type FaultRequest struct {
	Faults
	Crash bool `json:"crash,omitempty"`
	// ForMillis ends all faults after that time; 0 leaves them in force.
	ForMillis int `json:"for_ms,omitempty"`
}

func (s *Service) addControl(router *echo.Echo) {
	router.GET("/standin/runs", s.getRuns)
	router.GET("/standin/faults", s.getFaults)
	router.POST("/standin/faults", s.orderFaults)
}

func (s *Service) getRuns(c echo.Context) error   { return c.JSON(http.StatusOK, s.Runs()) }
func (s *Service) getFaults(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) }

func (s *Service) orderFaults(c echo.Context) error {
	order := FaultRequest{Faults: s.Faults()}
	if err := api.DecodeStrict(c, &order); err != nil {
		return err
	}
	s.SetFaults(order.Faults)
	if order.ForMillis > 0 {
		time.AfterFunc(time.Duration(order.ForMillis)*time.Millisecond, func() { s.SetFaults(Faults{}) })
	}
	if order.Crash {
		s.Crash()
	}
	return c.JSON(http.StatusOK, s.Faults())
}
