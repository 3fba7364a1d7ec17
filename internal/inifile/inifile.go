// Package inifile reads INI files so that every fault can be reported with its
// file and line. The parsing is gopkg.in/ini.v1's; this package adds the places
// and the collecting of findings.
package inifile

import (
	"os"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// File is one parsed file.
type File struct {
	Name     string
	sections []*Section
	findings *Findings
}

// Read parses the file at path. Faults, an unreadable file included, go to
// findings.
func Read(path string, findings *Findings) *File {
	text, err := os.ReadFile(path)
	if err != nil {
		findings.Add(Position{File: path}, "%v", errors.Cause(err))
		return &File{Name: path, findings: findings}
	}
	return Parse(path, text, findings)
}

// Parse parses text, which is known as name in findings.
func Parse(name string, text []byte, findings *Findings) *File {
	f := &File{Name: name, findings: findings}
	index := indexLines(name, string(text), findings)
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
		SkipUnrecognizableLines:    true, // the index has reported them
	}, text)
	if err != nil {
		findings.Add(Position{File: name}, "%v", err)
		return f
	}
	seen := map[string]int{}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			f.reportStray(section, index)
			continue
		}
		nth := seen[section.Name()]
		seen[section.Name()]++
		f.sections = append(f.sections, f.newSection(section, index.section(section.Name(), nth)))
	}
	f.reportDuplicates()
	return f
}

// Sections returns the sections in the file's order, without those that bear a
// name taken by an earlier one.
func (f *File) Sections() []*Section {
	return f.sections
}

// Section returns the first section of the given name, or an empty one that
// stands at the file's start.
func (f *File) Section(name string) *Section {
	for _, s := range f.sections {
		if s.header == name {
			return s
		}
	}
	return f.newSection(ini.Empty().Section(name), sectionLines{header: 1})
}

// ReportUnread adds a finding for every section outside of known and for every
// key of the other sections that nothing asked for. It is called last.
func (f *File) ReportUnread(known ...string) {
	for _, s := range f.sections {
		if !contains(known, s.header) {
			f.findings.Add(s.Position(), "unknown section [%s]", s.header)
			continue
		}
		s.ReportUnread()
	}
}

func (f *File) newSection(section *ini.Section, lines sectionLines) *Section {
	kind, name, _ := strings.Cut(section.Name(), " ")
	return &Section{
		Kind:     kind,
		Name:     strings.TrimSpace(name),
		header:   section.Name(),
		file:     f.Name,
		section:  section,
		lines:    lines,
		read:     map[string]bool{},
		findings: f.findings,
	}
}

func (f *File) reportStray(section *ini.Section, index lineIndex) {
	for _, key := range section.Keys() {
		place := Position{File: f.Name, Line: index.section("", 0).line(key.Name())}
		f.findings.Add(place, "key %q stands before the first section", key.Name())
	}
}

func (f *File) reportDuplicates() {
	first := map[string]*Section{}
	kept := f.sections[:0]
	for _, s := range f.sections {
		if earlier, taken := first[s.header]; taken {
			f.findings.Add(s.Position(), "section [%s] stands already on line %d", s.header, earlier.Position().Line)
			continue
		}
		first[s.header] = s
		kept = append(kept, s)
	}
	f.sections = kept
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}
