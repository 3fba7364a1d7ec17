package inifile

import "strings"

// multiline delimits values of several lines.
const multiline = `"""`

// sectionLines holds the line numbers of a section's header and keys.
type sectionLines struct {
	header int
	keys   map[string][]int
}

// line returns the first line of a key, or the line of the header if the section
// lacks the key.
func (s sectionLines) line(key string) int {
	if lines := s.keys[key]; len(lines) > 0 {
		return lines[0]
	}
	return s.header
}

// secondLine returns the second line of a key that is given more than once.
func (s sectionLines) secondLine(key string) int {
	if lines := s.keys[key]; len(lines) > 1 {
		return lines[1]
	}
	return s.line(key)
}

// lineIndex maps headers to the sections with that header, in the order of the
// file. Keys before the first section are under the empty header.
type lineIndex map[string][]sectionLines

func (x lineIndex) section(name string, occurrence int) sectionLines {
	if occurrence < len(x[name]) {
		return x[name][occurrence]
	}
	return sectionLines{}
}

func (x lineIndex) add(name string, line int) sectionLines {
	s := sectionLines{header: line, keys: map[string][]int{}}
	x[name] = append(x[name], s)
	return s
}

// indexLines returns the line numbers of sections and keys, which the parser does
// not provide. It reports lines that are neither, which the parser skips.
func indexLines(file, text string, findings *Findings) lineIndex {
	index := lineIndex{}
	current := index.add("", 1)
	inMultiline := false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		position := Position{File: file, Line: i + 1}
		if inMultiline {
			inMultiline = !strings.Contains(line, multiline)
			continue
		}
		key, value, isKey := strings.Cut(line, "=")
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[':
			end := strings.LastIndexByte(line, ']') // as the parser reads it
			switch end {
			case -1:
				findings.Add(position, "section without closing bracket")
				end = len(line)
			case 1:
				findings.Add(position, "section without a name")
			}
			current = index.add(line[1:end], position.Line)
		case isKey:
			key = strings.TrimSpace(key)
			current.keys[key] = append(current.keys[key], position.Line)
			value = strings.TrimSpace(value)
			inMultiline = strings.HasPrefix(value, multiline) && !strings.Contains(value[len(multiline):], multiline)
		default:
			findings.Add(position, "neither a section, a key nor a comment: %q", line)
		}
	}
	return index
}

// lineOf returns the number of the line that an error of the parser ends with, or 1 if it names none.
func lineOf(err error, text string) int {
	message := strings.TrimSpace(err.Error())
	found, longest := 1, 0
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); len(line) > longest && strings.HasSuffix(message, line) {
			found, longest = i+1, len(line)
		}
	}
	return found
}
