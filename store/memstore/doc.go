// Package memstore is the platform's key-value service in memory, for tests and
// for the stand-in server. It runs on package time, so that testing/synctest
// drives its leases and delays, and it can be told to fail in each way in which
// the real service fails: down, slow, answer lost after its effect, old value
// read, rate limit, restored from an old copy.
package memstore
