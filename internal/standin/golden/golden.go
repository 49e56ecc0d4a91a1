// Package golden guards what daemons of two neighboring releases send to each other or
// store. It compares the encoding of each kind of message or record with the one that the
// last release wrote, which is kept as test data.
//
// A daemon of the last release must be able to read what this one writes: each field that it
// knows is there, with the same value and the same type, and a list of fields that is encoded
// as an array is as long as before, since it refuses longer ones. This one must be able to
// read what it wrote. A kind whose encoding has changed must be named in the page on upgrades,
// which says why that is harmless.
//
// # Usage
//
//	golden.Check(t, "fleet", frame.Encode, frame.Decode, map[string]any{"ping": &ping{}, "pong": &pong{}})
//
// At a release, the test data is recorded anew:
//
//	GOLDEN_RELEASE=$(git rev-parse --short HEAD) go test ./... -run Golden
package golden

import (
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// recordVariable is the environment variable that names the release to record.
const recordVariable = "GOLDEN_RELEASE"

// page is the page that names the kinds whose encodings have changed since the last release.
const page = "docs/design/upgrades.md"

// Check compares the encodings of the kinds of an area, given by pointers to zero values,
// with those in testdata/golden.txt.
func Check(t *testing.T, area string, encode func(any) ([]byte, error), decode func([]byte, any) error, kinds map[string]any) {
	t.Helper()
	path := filepath.Join("testdata", "golden.txt")
	if release := os.Getenv(recordVariable); release != "" {
		record(t, path, release, encode, kinds)
		return
	}
	recorded := read(t, path)
	for name := range recorded {
		if kinds[name] == nil {
			t.Errorf("%s.%s was written by the last release and is not checked", area, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		old, known := recorded[name]
		if !known {
			t.Logf("%s.%s is new in this release", area, name)
			continue
		}
		check(t, area+"."+name, old, encode, decode, kinds[name])
	}
}

func check(t *testing.T, name string, old []byte, encode func(any) ([]byte, error), decode func([]byte, any) error, kind any) {
	t.Helper()
	read := reflect.New(reflect.TypeOf(kind).Elem()).Interface()
	if err := decode(old, read); err != nil {
		t.Errorf("%s: what the last release wrote cannot be read: %v", name, err)
		return
	}
	readAgain, err := encode(read)
	if err != nil {
		t.Fatal(err)
	}
	filled := Fill(kind)
	written, err := encode(filled)
	if err != nil {
		t.Fatal(err)
	}
	expectHeld(t, name+" as read", generic(t, old), generic(t, readAgain))
	expectHeld(t, name+" as written", generic(t, old), generic(t, written))
	if string(old) != string(written) && !strings.Contains(pageText(t), "`"+name+"`") {
		t.Errorf("%s has changed since the last release, and %s does not say so", name, page)
	}
}

// generic decodes an encoding without knowing its type.
func generic(t *testing.T, encoded []byte) (value any) {
	t.Helper()
	if err := msgpack.Unmarshal(encoded, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

// expectHeld fails the test unless all that an old encoding has is in a new one as well.
func expectHeld(t *testing.T, name string, old, current any) {
	t.Helper()
	switch old := old.(type) {
	case map[string]any:
		fields, isMap := current.(map[string]any)
		for field, value := range old {
			if _, found := fields[field]; !isMap || !found {
				t.Errorf("%s: the field %s is missing", name, field)
				continue
			}
			expectHeld(t, name+"."+field, value, fields[field])
		}
	case []any:
		items, isList := current.([]any)
		if !isList || len(items) != len(old) {
			t.Errorf("%s: got %v, want a list of %d", name, current, len(old))
			return
		}
		for n := range old {
			expectHeld(t, fmt.Sprint(name, "[", n, "]"), old[n], items[n])
		}
	default:
		if !reflect.DeepEqual(old, current) {
			t.Errorf("%s: got %v (%T), want %v (%T)", name, current, current, old, old)
		}
	}
}

// Fill returns a pointer to a value of the type that kind points to, each field of which is
// set.
func Fill(kind any) any {
	value := reflect.New(reflect.TypeOf(kind).Elem())
	fill(value.Elem(), 1)
	return value.Interface()
}

// fill sets a value and all in it. Numbers differ by their place, so that fields that change
// places are noticed.
func fill(value reflect.Value, place int) {
	switch value.Kind() {
	case reflect.Struct:
		for n := range value.NumField() {
			if value.Type().Field(n).IsExported() {
				fill(value.Field(n), place+n)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), place)
	case reflect.Array:
		for n := range value.Len() {
			fill(value.Index(n), place+n)
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		key, item := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, place)
		fill(item, place)
		value.SetMapIndex(key, item)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), place)
	default:
		fillScalar(value, place)
	}
}

func fillScalar(value reflect.Value, place int) {
	switch {
	case value.CanInt():
		value.SetInt(int64(place))
	case value.CanUint():
		value.SetUint(uint64(place))
	case value.CanFloat():
		value.SetFloat(float64(place) + 0.5)
	case value.Kind() == reflect.String:
		value.SetString(fmt.Sprint("text ", place))
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	}
}

// record writes the encodings of this release.
func record(t *testing.T, path, release string, encode func(any) ([]byte, error), kinds map[string]any) {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "release %s\n", release)
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		encoded, err := encode(Fill(kinds[name]))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s %s\n", name, hex.EncodeToString(encoded))
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// read returns the recorded encodings by kind.
func read(t *testing.T, path string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	recorded := make(map[string][]byte)
	for line := range strings.Lines(string(text)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		if name == "release" {
			continue
		}
		encoded, err := hex.DecodeString(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		recorded[name] = encoded
	}
	return recorded
}

// pageText returns the page on upgrades.
func pageText(t *testing.T) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for ; dir != filepath.Dir(dir); dir = filepath.Dir(dir) {
		if text, err := os.ReadFile(filepath.Join(dir, page)); err == nil {
			return string(text)
		}
	}
	t.Fatalf("%s is not found", page)
	return ""
}
