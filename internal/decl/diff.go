package decl

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Kinds of changes.
const (
	ChangeAdd    = "add"
	ChangeRemove = "remove"
	ChangeSet    = "set"
)

// Change is a difference between two deployments. Field, Before and After are
// empty if an object was added or removed.
type Change struct {
	Kind   string `json:"kind"`
	Object string `json:"object"` // such as "class lookup"
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	if c.Kind != ChangeSet {
		return c.Kind + " " + c.Object
	}
	return fmt.Sprintf("set %s %s: %s -> %s", c.Object, c.Field, c.Before, c.After)
}

// Diff returns the changes from before to after, sorted by object; the fields of
// an object are in the order of their declaration. Before may be nil.
func Diff(before, after *Deployment) []Change {
	if before == nil {
		before = &Deployment{}
	}
	var changes []Change
	old, updated := reflect.ValueOf(*before), reflect.ValueOf(*after)
	for i := 0; i < old.NumField(); i++ {
		field := old.Type().Field(i)
		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			kind := strings.ToLower(field.Type.Elem().Name())
			changes = append(changes, diffObjects(kind, old.Field(i), updated.Field(i))...)
			continue
		}
		changes = append(changes, diffField("deployment", field, old.Field(i), updated.Field(i))...)
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Object < changes[j].Object })
	return changes
}

func diffObjects(kind string, before, after reflect.Value) []Change {
	var changes []Change
	old, updated := byName(before), byName(after)
	for name, o := range old {
		n, kept := updated[name]
		if !kept {
			changes = append(changes, Change{Kind: ChangeRemove, Object: kind + " " + name})
			continue
		}
		for i := 0; i < o.NumField(); i++ {
			changes = append(changes, diffField(kind+" "+name, o.Type().Field(i), o.Field(i), n.Field(i))...)
		}
	}
	for name := range updated {
		if _, existed := old[name]; !existed {
			changes = append(changes, Change{Kind: ChangeAdd, Object: kind + " " + name})
		}
	}
	return changes
}

func diffField(object string, field reflect.StructField, before, after reflect.Value) []Change {
	old, updated := fieldText(field, before), fieldText(field, after)
	if old == updated {
		return nil
	}
	return []Change{{Kind: ChangeSet, Object: object, Field: jsonName(field), Before: truncateDigest(field, old), After: truncateDigest(field, updated)}}
}

func byName(objects reflect.Value) map[string]reflect.Value {
	all := map[string]reflect.Value{}
	for i := 0; i < objects.Len(); i++ {
		all[objects.Index(i).FieldByName("Name").String()] = objects.Index(i)
	}
	return all
}

func fieldText(field reflect.StructField, v reflect.Value) string {
	if field.Type.Kind() == reflect.Slice {
		return strings.Join(v.Interface().([]string), ", ")
	}
	return fmt.Sprint(v.Interface())
}

// shownDigits is the number of hexadecimal digits of a key's digest that a change
// contains, which suffices to tell two keys apart by eye.
const shownDigits = 8

// truncateDigest shortens digests of keys. The audit trail shows that a key changed
// without the whole digest, which would allow a search for weak keys.
func truncateDigest(field reflect.StructField, text string) string {
	if strings.HasSuffix(field.Name, "SHA256") && len(text) > shownDigits {
		return text[:shownDigits] + "..."
	}
	return text
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
