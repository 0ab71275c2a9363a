package settings

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// value converts one setting from and to text.
type value struct {
	set func(s *Settings, text string) error
	get func(s *Settings) string
}

// textValue returns the value of a text setting.
func textValue[T ~string](ptr func(s *Settings) *T) value {
	return value{
		set: func(s *Settings, text string) error {
			*ptr(s) = T(text)
			return nil
		},
		get: func(s *Settings) string { return string(*ptr(s)) },
	}
}

// durationValue returns the value of a setting that is a duration with a unit.
func durationValue(ptr func(s *Settings) *time.Duration) value {
	return value{
		set: func(s *Settings, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.Newf("%q is not a duration with a unit, such as 400ms or 2s", text)
			}
			*ptr(s) = d
			return nil
		},
		get: func(s *Settings) string { return ptr(s).String() },
	}
}

// countValue returns the value of a setting that is a whole number.
func countValue(ptr func(s *Settings) *int) value {
	return value{
		set: func(s *Settings, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return errors.Newf("%q is not a whole number; write it in digits without a unit", text)
			}
			*ptr(s) = n
			return nil
		},
		get: func(s *Settings) string { return strconv.Itoa(*ptr(s)) },
	}
}

// numberValue returns the value of a setting that is a decimal number.
func numberValue(ptr func(s *Settings) *float64) value {
	return value{
		set: func(s *Settings, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Newf("%q is not a number; write it in digits without a unit", text)
			}
			*ptr(s) = f
			return nil
		},
		get: func(s *Settings) string { return strconv.FormatFloat(*ptr(s), 'g', -1, 64) },
	}
}
