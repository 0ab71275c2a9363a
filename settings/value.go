package settings

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// value reads and writes one setting as text.
type value struct {
	set func(s *Settings, text string) error
	get func(s *Settings) string
}

// textValue is a setting that holds text.
func textValue[T ~string](at func(s *Settings) *T) value {
	return value{
		set: func(s *Settings, text string) error {
			*at(s) = T(text)
			return nil
		},
		get: func(s *Settings) string { return string(*at(s)) },
	}
}

// timeValue is a setting that holds a time with its unit.
func timeValue(at func(s *Settings) *time.Duration) value {
	return value{
		set: func(s *Settings, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.Newf("%q is no time with a unit, such as 400ms or 2s", text)
			}
			*at(s) = d
			return nil
		},
		get: func(s *Settings) string { return at(s).String() },
	}
}

// countValue is a setting that holds a whole number.
func countValue(at func(s *Settings) *int) value {
	return value{
		set: func(s *Settings, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return errors.Newf("%q is no whole number; write it in digits without a unit", text)
			}
			*at(s) = n
			return nil
		},
		get: func(s *Settings) string { return strconv.Itoa(*at(s)) },
	}
}

// numberValue is a setting that holds a number.
func numberValue(at func(s *Settings) *float64) value {
	return value{
		set: func(s *Settings, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Newf("%q is no number; write it in digits without a unit", text)
			}
			*at(s) = f
			return nil
		},
		get: func(s *Settings) string { return strconv.FormatFloat(*at(s), 'g', -1, 64) },
	}
}
