package ctl

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"hawthornrill.example/hawthornrill/config"
)

// generationFileName is the file in a directory of CSV files that holds the
// generation which the directory was exported from.
const generationFileName = "generation.txt"

// tomlGenerationPrefix is the start of the line that holds the exported generation
// in a TOML file.
const tomlGenerationPrefix = "# generation "

// tableFile is a table read from, or to be written to, the operator's files.
type tableFile struct {
	table config.Table
	// generation is the exported generation; zero if the file doesn't state it.
	generation uint64
}

// isTOML reports whether the path names a TOML file and not a directory.
func isTOML(path string) bool { return filepath.Ext(path) == ".toml" }

// readTable reads and validates a directory of CSV files or a TOML file.
func readTable(path string) (tableFile, error) {
	read := readCSV
	if isTOML(path) {
		read = readTOML
	}
	file, err := read(path)
	if err != nil {
		return tableFile{}, err
	}
	return file, config.Validate(&file.table).Err()
}

func readCSV(path string) (tableFile, error) {
	table, err := config.LoadCSV(os.DirFS(path))
	if err != nil {
		return tableFile{}, err
	}
	data, err := os.ReadFile(filepath.Join(path, generationFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return tableFile{table: table}, nil
	}
	if err != nil {
		return tableFile{}, err
	}
	generation, err := parseGeneration(string(data))
	return tableFile{table: table, generation: generation}, err
}

func readTOML(path string) (tableFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return tableFile{}, err
	}
	table, err := config.LoadTOML(strings.NewReader(string(data)))
	if err != nil {
		return tableFile{}, describeTOMLError(err)
	}
	first, _, _ := strings.Cut(string(data), "\n")
	text, found := strings.CutPrefix(first, tomlGenerationPrefix)
	if !found {
		return tableFile{table: table}, nil
	}
	generation, err := parseGeneration(text)
	return tableFile{table: table, generation: generation}, err
}

// describeTOMLError adds the position to a TOML parse error.
func describeTOMLError(err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return errors.New(parse.ErrorWithPosition())
	}
	return err
}

func parseGeneration(text string) (uint64, error) {
	generation, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("the generation that the file was exported from: %q is not a number", strings.TrimSpace(text))
	}
	return generation, nil
}

// writeTable writes a table and its generation.
func writeTable(path string, file tableFile) error {
	if isTOML(path) {
		return writeTOML(path, file)
	}
	if err := config.WriteCSV(path, file.table); err != nil {
		return err
	}
	text := strconv.FormatUint(file.generation, 10) + "\n"
	return os.WriteFile(filepath.Join(path, generationFileName), []byte(text), 0o644)
}

func writeTOML(path string, file tableFile) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s%d\n", tomlGenerationPrefix, file.generation)
	if err := config.WriteTOML(&text, file.table); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
