// Package memstore implements the platform's key-value service in memory, for tests
// and for the stand-in server. It uses package time, so that testing/synctest
// controls its leases and delays. It can inject each failure of the real service: an
// outage, slow calls, responses lost after the write took effect, stale reads, rate
// limiting and a restore from an old backup.
package memstore
