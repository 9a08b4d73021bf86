package config

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// compiled keeps the snapshot reachable while its memory is measured.
var compiled *Snapshot

// measureSnapshot reports the time to compile a table and the heap memory held by
// the snapshot.
func measureSnapshot(b *testing.B, table Table) {
	for b.Loop() {
		s, err := Compile(table, 1)
		assert.NilError(b, err)
		compiled = s
	}
	compiled = nil
	before := heapBytes()
	encoded, err := Encode(table)
	assert.NilError(b, err)
	decoded := decodeAll(b, encoded)
	compiled, err = Compile(decoded, 1)
	assert.NilError(b, err)
	decoded, encoded = Table{}, nil
	b.ReportMetric(heapBytes()-before, "B")
	runtime.KeepAlive(&table)
}

func decodeAll(b *testing.B, parts [][]byte) Table {
	var all []byte
	for _, part := range parts {
		all = append(all, part...)
	}
	table, err := Decode(all)
	assert.NilError(b, err)
	return table
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkSlopeSnapshotOrganisations measures snapshots by number of organisations,
// with 33 models and no endpoints.
func BenchmarkSlopeSnapshotOrganisations(b *testing.B) {
	for _, organisations := range []int{290, 1450, 2900} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			table := syntheticTable(organisations)
			table.Endpoints = nil
			measureSnapshot(b, table)
		})
	}
}

// BenchmarkSlopeSnapshotEndpoints measures snapshots by number of endpoints, with 33
// models and no organisations.
func BenchmarkSlopeSnapshotEndpoints(b *testing.B) {
	for _, endpoints := range []int{270, 1350, 2700} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			table := syntheticTable(endpoints * 2900 / 2700)
			table.Organisations = nil
			measureSnapshot(b, table)
		})
	}
}

// BenchmarkSlopeChange measures a node's computation for one change: decoding and
// compiling the whole table.
func BenchmarkSlopeChange(b *testing.B) {
	for _, organisations := range []int{290, 1450, 2900} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			parts, err := Encode(syntheticTable(organisations))
			assert.NilError(b, err)
			for b.Loop() {
				_, err := Compile(decodeAll(b, parts), 1)
				assert.NilError(b, err)
			}
		})
	}
}
