package field

import (
	"errors"
	"testing"

	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

func TestSetAndText(t *testing.T) {
	tests := []struct {
		field, text, want string
		wrong             bool
	}{
		{field: "Name", text: "quick", want: "quick"},
		{field: "Tier", text: "3", want: "3"},
		{field: "Tier", text: "3.5", wrong: true},
		{field: "Tier", text: "99999999999", wrong: true},
		{field: "FirstTokenTarget", text: "780ms", want: "780ms"},
		{field: "FirstTokenTarget", text: "780", wrong: true},
		{field: "FirstTokenTarget", text: "1us", wrong: true},
		{field: "GuaranteedShare", text: "0.25", want: "0.25"},
		{field: "GuaranteedShare", text: "a quarter", wrong: true},
		{field: "RefuseEarly", text: "true", want: "true"},
		{field: "RefuseEarly", text: "yes", wrong: true},
		{field: "Revision", text: "-1", wrong: true},
	}
	for _, test := range tests {
		class := &operatorv1.Class{}
		err := Set(class, test.field, test.text)
		if (err != nil) != test.wrong {
			t.Errorf("%s = %s: error is %v", test.field, test.text, err)
		}
		if err == nil && Text(class, test.field) != test.want {
			t.Errorf("%s = %s is written as %q", test.field, test.text, Text(class, test.field))
		}
	}
	if err := Set(&operatorv1.Class{}, "Nope", ""); !errors.Is(err, ErrUnknownField) {
		t.Errorf("error is %v", err)
	}
}

func TestInstants(t *testing.T) {
	window := &operatorv1.UsageWindow{EndUnixMillis: 1000}
	if start, end := Text(window, "Start"), Text(window, "End"); start != "-" || end != "1970-01-01T00:00:01Z" {
		t.Errorf("start %q, end %q", start, end)
	}
}

func TestLists(t *testing.T) {
	route := &operatorv1.Route{}
	if err := Set(route, "Teams", " a, ,b,"); err != nil || Text(route, "Teams") != "a,b" {
		t.Errorf("teams are %q, error %v", Text(route, "Teams"), err)
	}
}
