package mechanism

import "siskinloom.example/siskinloom/internal/inifile"

const (
	section    = "mechanisms"
	keyWithout = "without"
)

// Load reads the settings file at path, which lists the mechanisms to disable:
//
//	[mechanisms]
//	without = hedges, move-slow
//
// The error is an *inifile.Error with the position of every finding.
func Load(path string) ([]Mechanism, error) {
	var findings inifile.Findings
	disabled := decode(inifile.Read(path, &findings))
	return disabled, findings.Err()
}

// decode returns the mechanisms that the file disables and reports invalid entries.
func decode(file *inifile.File) []Mechanism {
	s := file.Section(section)
	var disabled []Mechanism
	for _, name := range s.List(keyWithout) {
		m, err := Parse(name)
		if err != nil {
			s.AddFinding(keyWithout, "%v", err)
			continue
		}
		disabled = append(disabled, m)
	}
	file.ReportUnread(section)
	return disabled
}
