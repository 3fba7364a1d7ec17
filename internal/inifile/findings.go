package inifile

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a line of a file. Line 0 means the whole file.
type Position struct {
	File string
	Line int
}

// Finding is one error in a file with its position.
type Finding struct {
	File    string
	Line    int
	Message string
}

// String returns the finding as "file:line: message".
func (f Finding) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
}

// Findings collects errors so that they can be reported together. The zero value
// is ready for use.
type Findings struct {
	list []Finding
}

// Add adds a finding at a position.
func (f *Findings) Add(position Position, format string, args ...any) {
	f.list = append(f.list, Finding{File: position.File, Line: position.Line, Message: fmt.Sprintf(format, args...)})
}

// List returns the findings sorted by file and line.
func (f *Findings) List() []Finding {
	sorted := append([]Finding(nil), f.list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].File != sorted[j].File {
			return sorted[i].File < sorted[j].File
		}
		return sorted[i].Line < sorted[j].Line
	})
	return sorted
}

// Err returns an *Error with all findings, or nil if there are none.
func (f *Findings) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &Error{Findings: f.List()}
}

// Error is an error that lists all findings in a set of files.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
