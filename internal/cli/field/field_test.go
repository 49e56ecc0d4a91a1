package field

import (
	"errors"
	"testing"

	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

func TestSetAndText(t *testing.T) {
	tests := []struct {
		field, text, want string
		wantErr           bool
	}{
		{field: "Name", text: "quick", want: "quick"},
		{field: "Tier", text: "3", want: "3"},
		{field: "Tier", text: "3.5", wantErr: true},
		{field: "Tier", text: "99999999999", wantErr: true},
		{field: "FirstTokenTarget", text: "780ms", want: "780ms"},
		{field: "FirstTokenTarget", text: "780", wantErr: true},
		{field: "FirstTokenTarget", text: "1us", wantErr: true},
		{field: "GuaranteedShare", text: "0.25", want: "0.25"},
		{field: "GuaranteedShare", text: "a quarter", wantErr: true},
		{field: "RefuseEarly", text: "true", want: "true"},
		{field: "RefuseEarly", text: "yes", wantErr: true},
		{field: "Revision", text: "-1", wantErr: true},
	}
	for _, test := range tests {
		class := &operatorv1.Class{}
		err := Set(class, test.field, test.text)
		if (err != nil) != test.wantErr {
			t.Errorf("Set %s = %s: got error %v", test.field, test.text, err)
		}
		if err == nil && Text(class, test.field) != test.want {
			t.Errorf("after Set %s = %s: Text returned %q", test.field, test.text, Text(class, test.field))
		}
	}
	if err := Set(&operatorv1.Class{}, "Nope", ""); !errors.Is(err, ErrUnknownField) {
		t.Errorf("Set of an unknown field returned error %v, want ErrUnknownField", err)
	}
}

func TestTimestamps(t *testing.T) {
	window := &operatorv1.UsageWindow{EndUnixMillis: 1000}
	if start, end := Text(window, "Start"), Text(window, "End"); start != "-" || end != "1970-01-01T00:00:01Z" {
		t.Errorf("got start %q, end %q; want \"-\" and \"1970-01-01T00:00:01Z\"", start, end)
	}
}

func TestLists(t *testing.T) {
	route := &operatorv1.Route{}
	if err := Set(route, "Teams", " a, ,b,"); err != nil || Text(route, "Teams") != "a,b" {
		t.Errorf("got teams %q, error %v; want \"a,b\" and no error", Text(route, "Teams"), err)
	}
}
