// Package service is a stand-in for the users' plain services: a catalogue with
// saved jobs and quotes, and a game server with clue unlocks and a scoreboard.
// Some of its calls must not be repeated, and their effect shows when they are.
// It logs each call that it ran by its request key: the tests' witness.
//
//	GET  /catalogue/{item}   a made-up item
//	GET  /jobs, GET /jobs/{id}
//	POST /jobs               saves a job; each call makes a new one
//	POST /quotes             prices a quote; each call bills it
//	GET  /scoreboard
//	POST /scores             {"team":T,"points":N} adds points
//	POST /unlocks            {"team":T,"clue":C}; each call uses one up
//	ANY  /echo               sends the body back as it comes
//
// A Service runs on package time and can be used in process as an
// endpoint.Service under testing/synctest.
package service
