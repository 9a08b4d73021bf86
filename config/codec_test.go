package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// syntheticTable returns a table with the given number of organisations and, in the
// proportion of the design size, endpoints.
func syntheticTable(organisations int) Table {
	t := Table{
		Tiers:    []TierRow{{Name: "gold", DeadlineMillis: 60_000}, {Name: "silver", Rank: 1, DeadlineMillis: 60_000}, {Name: "batch", Rank: 2, DeadlineMillis: 60_000}},
		Services: []ServiceRow{{Name: "catalogue", DeadlineMillis: 5000}},
	}
	for i := range 33 {
		t.Models = append(t.Models, ModelRow{Name: fmt.Sprintf("model-%02d", i), MaxPromptTokens: 32_768, MaxAnswerTokens: 8192})
	}
	for i := range organisations {
		t.Organisations = append(t.Organisations, OrganisationRow{
			ID: domain.OrganisationID(fmt.Sprintf("organisation-%05d", i)), Tier: t.Tiers[i%3].Name, Weight: 1 + i%9,
			InFlight: 100, TokensPerMinute: 1_000_000, KeyHashes: FormatKeyHash(HashKey(fmt.Sprint(i))),
		})
	}
	for i := range organisations * 2700 / 2900 {
		t.Endpoints = append(t.Endpoints, EndpointRow{
			ID: domain.EndpointID(fmt.Sprintf("runner-%05d", i)), Kind: KindEngine, DataCentre: domain.DataCentre(fmt.Sprintf("dc-%02d", i%21)),
			Address: fmt.Sprintf("http://10.%d.%d.%d:8000", i/65536, i/256%256, i%256), Serves: t.Models[i%33].Name,
			Generation: "h1", Weight: 100, Limit: 64, TokenLimit: 500_000, ChecksFencing: i%2 == 0,
		})
	}
	return t
}

func TestRowChangeAltersAtMostTwoParts(t *testing.T) {
	table := syntheticTable(600)
	parts, err := Encode(table)
	assert.NilError(t, err)
	read, err := Decode(slices.Concat(parts...))
	assert.NilError(t, err)
	table.Sort()
	assert.DeepEqual(t, read, table)

	changes := map[string]func(*Table){
		"changed": func(t *Table) { t.Organisations[300].Weight = 77 },
		"added":   func(t *Table) { t.Organisations = append(t.Organisations, OrganisationRow{ID: "aaa"}) },
		"removed": func(t *Table) { t.Endpoints = slices.Delete(slices.Clone(t.Endpoints), 5, 6) },
	}
	for name, change := range changes {
		next := table.Clone()
		change(&next)
		after, err := Encode(next)
		assert.NilError(t, err)
		old := make(map[string]bool)
		for _, part := range parts {
			old[string(part)] = true
		}
		added := slices.DeleteFunc(after, func(part []byte) bool { return old[string(part)] })
		assert.Assert(t, len(added) <= 2, "%s: %d of %d parts are new", name, len(added), len(parts))
	}

	_, err = Decode([]byte{0xa1, 0x01, 0x02})
	assert.ErrorIs(t, err, ErrNewerFormat)
	_, err = Decode([]byte("rubbish"))
	assert.ErrorIs(t, err, ErrFormat)
}

func TestCSVRoundTrip(t *testing.T) {
	directory := t.TempDir()
	assert.NilError(t, WriteCSV(directory, testTable()))
	read, err := LoadCSV(os.DirFS(directory))
	assert.NilError(t, err)
	want := testTable()
	want.Sort()
	assert.DeepEqual(t, read, want)
}

func TestCSVProblems(t *testing.T) {
	directory := t.TempDir()
	assert.NilError(t, WriteCSV(directory, testTable()))
	good := make(fstest.MapFS)
	for _, kind := range Kinds() {
		data, err := os.ReadFile(filepath.Join(directory, fileName(kind)))
		assert.NilError(t, err)
		good[fileName(kind)] = &fstest.MapFile{Data: data}
	}
	replace := func(old, with string) func(string) string {
		return func(s string) string { return strings.ReplaceAll(s, old, with) }
	}
	cases := []struct {
		name   string
		edit   func(string) string
		column string
		row    int
	}{
		{"spreadsheet format", func(s string) string {
			return "\xef\xbb\xbf" + strings.ReplaceAll(strings.ReplaceAll(s, ",", ";"), "\n", "\r\n") + ";;;;;;\r\n"
		}, "", 0},
		{"thousands separator", replace("cucine,gold,3", "cucine,gold,3.000"), "weight", 1},
		{"fraction", replace("cucine,gold,3", "cucine,gold,\"3,5\""), "weight", 1},
		{"missing column", replace("weight", "wieght"), "wieght", 0},
		{"duplicate column", replace("tokens_per_minute", "weight"), "weight", 0},
		{"too many cells", replace("batch,1,0,0,,", "batch,1,0,0,,,7"), "", 2},
	}
	for _, c := range cases {
		files := make(fstest.MapFS)
		for name, file := range good {
			files[name] = file
		}
		files["organisations.csv"] = &fstest.MapFile{Data: []byte(c.edit(string(good["organisations.csv"].Data)))}
		read, err := LoadCSV(files)
		if c.column == "" && c.row == 0 {
			assert.NilError(t, err, c.name)
			assert.Equal(t, len(read.Organisations), 2)
			continue
		}
		var problems Problems
		assert.Assert(t, errors.As(err, &problems), c.name)
		assert.Equal(t, problems[0].Kind, KindOrganisations)
		assert.Equal(t, problems[0].Column, c.column, c.name)
		assert.Equal(t, problems[0].Row, c.row, c.name)
	}
	delete(good, "models.csv")
	_, err := LoadCSV(good)
	assert.ErrorContains(t, err, "models.csv can't be read")
}
