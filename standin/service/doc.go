// Package service simulates the users' plain services: a catalogue with saved
// jobs and quotes, and a game server with clue unlocks and a scoreboard. Some of
// its calls are not idempotent, and their results show when one was repeated. Each
// call is logged with its request key, so that tests can count executions.
//
//	GET  /catalogue/{item}   an item generated from its name
//	GET  /jobs, GET /jobs/{id}
//	POST /jobs               saves a job; each call creates a new one
//	POST /quotes             prices a quote; each call bills it
//	GET  /scoreboard
//	POST /scores             {"team":T,"points":N} adds points
//	POST /unlocks            {"team":T,"clue":C}; each call counts as one use
//	ANY  /echo               streams the request body back
//
// A Service takes its time from package time and implements endpoint.Service in
// process, so that it can be used under testing/synctest.
package service
