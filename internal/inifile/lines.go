package inifile

import "strings"

const multiline = `"""`

// sectionLines are the line numbers of one section.
type sectionLines struct {
	header int
	keys   map[string][]int
}

// line returns the first line of a key, or the section's for a key that is
// not there.
func (s sectionLines) line(key string) int {
	if lines := s.keys[key]; len(lines) > 0 {
		return lines[0]
	}
	return s.header
}

// lineIndex holds the sections of a file by name, each in order of appearance.
// The keys before the first section are under the empty name.
type lineIndex map[string][]sectionLines

func (x lineIndex) section(name string, nth int) sectionLines {
	if nth < len(x[name]) {
		return x[name][nth]
	}
	return sectionLines{}
}

func (x lineIndex) begin(name string, line int) sectionLines {
	s := sectionLines{header: line, keys: map[string][]int{}}
	x[name] = append(x[name], s)
	return s
}

// indexLines notes where sections and keys stand, which the parser does not
// tell, and reports lines that are neither, which the parser would skip.
func indexLines(file, text string, findings *Findings) lineIndex {
	index := lineIndex{}
	current := index.begin("", 1)
	inValue := false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		at := Position{File: file, Line: i + 1}
		if inValue {
			inValue = !strings.Contains(line, multiline)
			continue
		}
		key, value, isKey := strings.Cut(line, "=")
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[':
			name, _, closed := strings.Cut(line[1:], "]")
			if !closed {
				findings.Add(at, "section without closing bracket")
			}
			current = index.begin(strings.TrimSpace(name), at.Line)
		case isKey:
			key = strings.TrimSpace(key)
			current.keys[key] = append(current.keys[key], at.Line)
			value = strings.TrimSpace(value)
			inValue = strings.HasPrefix(value, multiline) && !strings.Contains(value[len(multiline):], multiline)
		default:
			findings.Add(at, "neither a section, a key nor a comment: %q", line)
		}
	}
	return index
}
