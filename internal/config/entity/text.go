package entity

import (
	"fmt"
	"reflect"
	"strings"
)

// reservedCharacters holds the visible characters that have a special meaning
// in configuration files and lists.
const reservedCharacters = "\"'`,"

// ValidText reports whether text is allowed in a field of an entity: it must
// contain only visible ASCII characters, without quotes and commas.
func ValidText(text string) bool {
	for _, char := range text {
		if char <= ' ' || char > '~' || strings.ContainsRune(reservedCharacters, char) {
			return false
		}
	}
	return true
}

// CheckText returns an error for the first field of an entity that contains
// text for which ValidText is false.
func CheckText(e any) error {
	value := reflect.ValueOf(e)
	for i := range value.NumField() {
		name := value.Type().Field(i).Name
		for _, text := range fieldStrings(value.Field(i)) {
			if !ValidText(text) {
				return fmt.Errorf("%w: %s %q must hold only visible ASCII characters other than quotes and commas", ErrInvalid, name, text)
			}
		}
	}
	return nil
}

// fieldStrings returns the value of a string field or the elements of a string
// slice.
func fieldStrings(field reflect.Value) []string {
	switch {
	case field.Kind() == reflect.String:
		return []string{field.String()}
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.String:
		return field.Interface().([]string)
	}
	return nil
}
