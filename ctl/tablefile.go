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

// generationFile says in a directory of CSV files which generation it was
// exported from.
const generationFile = "generation.txt"

// tomlMark begins the line that says the same in a TOML file.
const tomlMark = "# generation "

// tableFile is a table as the operator keeps it.
type tableFile struct {
	table config.Table
	// generation is the one exported; zero if the file doesn't say.
	generation uint64
}

// isTOML reports whether the path names a TOML file and not a directory.
func isTOML(path string) bool { return filepath.Ext(path) == ".toml" }

// readTable reads a directory of CSV files or a TOML file, and validates it.
func readTable(path string) (tableFile, error) {
	read := readDirectory
	if isTOML(path) {
		read = readTOML
	}
	file, err := read(path)
	if err != nil {
		return tableFile{}, err
	}
	return file, config.Validate(&file.table).Err()
}

func readDirectory(path string) (tableFile, error) {
	table, err := config.LoadCSV(os.DirFS(path))
	if err != nil {
		return tableFile{}, err
	}
	data, err := os.ReadFile(filepath.Join(path, generationFile))
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
		return tableFile{}, explainTOML(err)
	}
	first, _, _ := strings.Cut(string(data), "\n")
	text, marked := strings.CutPrefix(first, tomlMark)
	if !marked {
		return tableFile{table: table}, nil
	}
	generation, err := parseGeneration(text)
	return tableFile{table: table, generation: generation}, err
}

// explainTOML shows the line of a TOML error.
func explainTOML(err error) error {
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

// writeTable writes a table with the generation that it has.
func writeTable(path string, file tableFile) error {
	if isTOML(path) {
		return writeTOML(path, file)
	}
	if err := config.WriteCSV(path, file.table); err != nil {
		return err
	}
	text := strconv.FormatUint(file.generation, 10) + "\n"
	return os.WriteFile(filepath.Join(path, generationFile), []byte(text), 0o644)
}

func writeTOML(path string, file tableFile) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s%d\n", tomlMark, file.generation)
	if err := config.WriteTOML(&text, file.table); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
