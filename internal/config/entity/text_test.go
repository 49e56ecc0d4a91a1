package entity

import (
	"errors"
	"testing"
)

func TestCheckText(t *testing.T) {
	tests := map[string]struct {
		entity any
		valid  bool
	}{
		"plain":        {Backend{Name: "big", Model: "org/model-70b:v2", Type: Model}, true},
		"empty":        {Route{}, true},
		"line break":   {Backend{Model: "a\n[Team evil]"}, false},
		"space":        {Backend{Version: "1 "}, false},
		"quote":        {Backend{Version: "\"1\""}, false},
		"list element": {Backend{RepeatableMethods: []string{"GET", "PUT,POST"}}, false},
		"not ASCII":    {Team{Name: "éverest"}, false},
		"bad UTF-8":    {Key{Class: "\xff"}, false},
	}
	for name, test := range tests {
		err := CheckText(test.entity)
		if (err == nil) != test.valid || err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: CheckText returned %v, want ErrInvalid for invalid text only", name, err)
		}
	}
}
