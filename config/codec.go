package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// formatVersion is incremented when nodes of older releases could not decode a
	// table correctly.
	formatVersion = 1
	// rowsPerPart is the average number of rows in a part. A part ends once it has
	// reached maxPartBytes.
	rowsPerPart  = 16
	maxPartBytes = 8 << 10
)

// ErrNewerFormat means that the table was encoded by a later release.
var ErrNewerFormat = errors.New("config: table format is newer than this release supports")

// header is the first item of an encoded table.
type header struct {
	Format int `cbor:"1,keyasint"`
}

// encodedRow is a row and its kind, encoded as a CBOR array.
type encodedRow struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Row  cbor.RawMessage
}

// Encode encodes the table as a sequence of CBOR items in canonical order. The
// sequence is split into parts at boundaries chosen by a hash of the row key, so
// that changing one row alters one part and adding a row splits at most one part in
// two.
func Encode(t Table) ([][]byte, error) {
	sorted := t.Clone()
	sorted.Sort()
	first, err := cbor.Marshal(header{Format: formatVersion})
	if err != nil {
		return nil, fmt.Errorf("config: encode: %w", err)
	}
	parts := [][]byte{first}
	part := []byte{}
	for _, row := range sorted.Rows() {
		encoded, err := encodeRow(row)
		if err != nil {
			return nil, fmt.Errorf("config: encode %s %s: %w", row.Kind(), row.Key(), err)
		}
		part = append(part, encoded...)
		if isPartBoundary(row) || len(part) >= maxPartBytes {
			parts = append(parts, part)
			part = []byte{}
		}
	}
	return append(parts, part), nil
}

func isPartBoundary(r Row) bool {
	return xxhash.Sum64String(string(r.Kind())+"/"+r.Key())%rowsPerPart == 0
}

func encodeRow(r Row) ([]byte, error) {
	var row any
	switch r.Kind() {
	case KindTiers:
		row = r.Tier
	case KindOrganisations:
		row = r.Organisation
	case KindModels:
		row = r.Model
	case KindServices:
		row = r.Service
	case KindEndpoints:
		row = r.Endpoint
	}
	raw, err := cbor.Marshal(row)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(encodedRow{Kind: r.Kind(), Row: raw})
}

// Decode decodes a table from its concatenated parts. Empty data gives an empty
// table.
func Decode(data []byte) (Table, error) {
	var t Table
	if len(data) == 0 {
		return t, nil
	}
	decoder := cbor.NewDecoder(bytes.NewReader(data))
	var h header
	if err := decoder.Decode(&h); err != nil {
		return t, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if h.Format > formatVersion {
		return t, fmt.Errorf("%w: %d", ErrNewerFormat, h.Format)
	}
	for {
		var next encodedRow
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err == nil {
			err = decodeRow(&t, next)
		}
		if err != nil {
			return Table{}, fmt.Errorf("%w: %w", ErrFormat, err)
		}
	}
}

func decodeRow(t *Table, r encodedRow) error {
	switch r.Kind {
	case KindTiers:
		return decodeInto(&t.Tiers, r.Row)
	case KindOrganisations:
		return decodeInto(&t.Organisations, r.Row)
	case KindModels:
		return decodeInto(&t.Models, r.Row)
	case KindServices:
		return decodeInto(&t.Services, r.Row)
	case KindEndpoints:
		return decodeInto(&t.Endpoints, r.Row)
	}
	return fmt.Errorf("unknown row kind %q", r.Kind)
}

func decodeInto[T any](rows *[]T, raw cbor.RawMessage) error {
	var row T
	if err := cbor.Unmarshal(raw, &row); err != nil {
		return err
	}
	*rows = append(*rows, row)
	return nil
}
