package inifile

import (
	"fmt"
	"sort"
	"strings"
)

// Position is where something stands in a file. Line 0 means the whole file.
type Position struct {
	File string
	Line int
}

// Finding is one fault with its place.
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

// Findings collects faults so that they can be reported together. The zero
// value is ready for use.
type Findings struct {
	list []Finding
}

// Add records a fault.
func (f *Findings) Add(at Position, format string, args ...any) {
	f.list = append(f.list, Finding{File: at.File, Line: at.Line, Message: fmt.Sprintf(format, args...)})
}

// List returns the findings sorted by place.
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

// Err returns nil if there are no findings, or else an Error with all of them.
func (f *Findings) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &Error{Findings: f.List()}
}

// Error is every finding of a set of files as one error, a line each.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
