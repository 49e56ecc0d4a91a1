package ini

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// sizeUnits lists the units of a Size, the largest first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", gibibyte},
	{"MiB", mebibyte},
	{"KiB", kibibyte},
	{"B", 1},
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// set parses value into the setting that f describes. The error states
// what is expected.
func (f Field) set(settings *Settings, value string) error {
	return f.Assign(f.target(settings), value)
}

// Assign parses value into target, which is a *string, *bool, *int, *int64, *float64 or
// *clock.Millis, depending on the field's type. The error states what is
// expected.
func (f Field) Assign(target any, value string) error {
	if value == "" {
		if f.Required {
			return errors.New("must not be empty")
		}
		if f.Default == "" {
			return nil
		}
		return fmt.Errorf("must not be empty; remove the line to use the default %s", f.Default)
	}
	switch target := target.(type) {
	case *string:
		if err := f.checkText(value); err != nil {
			return err
		}
		*target = value
		return nil
	case *bool:
		if value != "true" && value != "false" {
			return errors.New("must be true or false")
		}
		*target = value == "true"
		return nil
	case *float64:
		number, err := parseFraction(value)
		*target = number
		return err
	case *clock.Millis:
		number, err := f.parseNumber(value)
		*target = clock.Millis(number)
		return err
	case *int64:
		number, err := f.parseNumber(value)
		*target = number
		return err
	case *int:
		number, err := f.parseNumber(value)
		*target = int(number)
		return err
	default:
		panic(fmt.Sprintf("ini: %s.%s has the unsupported type %T", f.Section, f.Name, target))
	}
}

func (f Field) checkText(value string) error {
	switch f.Type {
	case Name:
		if !namePattern.MatchString(value) {
			return errors.New("must start with a letter or digit and contain only letters, digits and . _ -")
		}
	case Choice:
		if !slices.Contains(f.Choices, value) {
			return fmt.Errorf("must be one of %s", strings.Join(f.Choices, ", "))
		}
	case Address:
		if _, err := netip.ParseAddrPort(value); err != nil {
			return errors.New("must be an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080")
		}
	case URL:
		return checkURL(value)
	}
	return nil
}

func checkURL(value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return errors.New("must be a URL such as http://10.0.0.2:9000")
	}
	if parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
		return errors.New("must be a URL without user, query and fragment")
	}
	return nil
}

func (f Field) parseNumber(value string) (number int64, err error) {
	switch f.Type {
	case Duration:
		number, err = parseDuration(value)
	case Size:
		number, err = parseSize(value)
	default:
		number, err = strconv.ParseInt(value, 10, 64)
		if err != nil {
			err = errors.New("must be a whole number")
		}
	}
	if err != nil {
		return 0, err
	}
	if number < f.Min || number > f.Max {
		return 0, fmt.Errorf("must be from %s to %s", f.formatNumber(f.Min), f.formatNumber(f.Max))
	}
	return number, nil
}

func parseFraction(value string) (float64, error) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || number < 0 || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, errors.New("must be a number such as 0.2")
	}
	return number, nil
}

func parseDuration(value string) (int64, error) {
	duration, err := time.ParseDuration(value)
	if err != nil {
		return 0, errors.New("must be a duration with a unit, such as 250ms, 5s or 1m30s")
	}
	if duration%time.Millisecond != 0 {
		return 0, errors.New("must be a whole number of milliseconds")
	}
	return duration.Milliseconds(), nil
}

func parseSize(value string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(value, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number < 0 || number > (1<<62)/unit.bytes {
			break
		}
		return number * unit.bytes, nil
	}
	return 0, errors.New("must be a size with a unit, such as 512B, 64KiB, 4MiB or 1GiB")
}

// formatNumber formats a number in the syntax of the field's type.
func (f Field) formatNumber(number int64) string {
	switch f.Type {
	case Duration:
		return formatDuration(clock.Millis(number))
	case Size:
		return formatSize(number)
	default:
		return strconv.FormatInt(number, 10)
	}
}

func formatDuration(d clock.Millis) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func formatSize(size int64) string {
	for _, unit := range sizeUnits {
		if size >= unit.bytes && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}
