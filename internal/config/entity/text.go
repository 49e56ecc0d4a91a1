package entity

import (
	"fmt"
	"reflect"
	"strings"
)

// forbiddenText holds the visible characters that files and lists give a
// meaning of their own.
const forbiddenText = "\"'`,"

// ValidText reports whether text may stand in a field of an entity: it holds
// only visible ASCII characters, no quotes and no commas.
func ValidText(text string) bool {
	for _, char := range text {
		if char <= ' ' || char > '~' || strings.ContainsRune(forbiddenText, char) {
			return false
		}
	}
	return true
}

// CheckText reports the first field of an entity whose text is not valid.
func CheckText(e any) error {
	value := reflect.ValueOf(e)
	for i := range value.NumField() {
		name := value.Type().Field(i).Name
		for _, text := range texts(value.Field(i)) {
			if !ValidText(text) {
				return fmt.Errorf("%w: %s %q must hold only visible ASCII characters other than quotes and commas", ErrInvalid, name, text)
			}
		}
	}
	return nil
}

// texts returns the strings that a field holds.
func texts(field reflect.Value) []string {
	switch {
	case field.Kind() == reflect.String:
		return []string{field.String()}
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.String:
		return field.Interface().([]string)
	}
	return nil
}
