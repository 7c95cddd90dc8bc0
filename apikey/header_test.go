package apikey_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/apikey"
)

const key = "k7b2ex5wa5xwyhks8nbk"

func TestFromHeader(t *testing.T) {
	tests := map[string]struct {
		values []string
		err    error
	}{
		"a key":                      {values: []string{"Bearer " + key}},
		"scheme in lower case":       {values: []string{"bearer " + key}},
		"scheme in capitals":         {values: []string{"BEARER " + key}},
		"more blanks after scheme":   {values: []string{"Bearer   " + key}},
		"blanks around":              {values: []string{" \tBearer " + key + " "}},
		"no header":                  {err: apikey.ErrMissing},
		"two headers":                {values: []string{"Bearer " + key, "Bearer " + key}, err: apikey.ErrRepeated},
		"empty":                      {values: []string{""}, err: apikey.ErrScheme},
		"another scheme":             {values: []string{"Basic " + key}, err: apikey.ErrScheme},
		"the key alone":              {values: []string{key}, err: apikey.ErrScheme},
		"scheme alone":               {values: []string{"Bearer"}, err: apikey.ErrMalformed},
		"scheme and blanks":          {values: []string{"Bearer   "}, err: apikey.ErrMalformed},
		"a tab after the scheme":     {values: []string{"Bearer\t" + key}, err: apikey.ErrScheme},
		"two keys in one header":     {values: []string{"Bearer " + key + ", Bearer x"}, err: apikey.ErrMalformed},
		"a blank within":             {values: []string{"Bearer k7b2ex5w a5xwyhks8nbk"}, err: apikey.ErrMalformed},
		"quoted":                     {values: []string{`Bearer "` + key + `"`}, err: apikey.ErrMalformed},
		"padding alone":              {values: []string{"Bearer =="}, err: apikey.ErrMalformed},
		"a character beyond ASCII":   {values: []string{"Bearer k7b2ex5wa5xwyhks8nbké"}, err: apikey.ErrMalformed},
		"padding within":             {values: []string{"Bearer k7=b2"}, err: apikey.ErrMalformed},
		"scheme that only begins so": {values: []string{"Bearerx " + key}, err: apikey.ErrScheme},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			digest, err := apikey.FromHeader(test.values)
			assert.ErrorIs(t, err, test.err)
			if test.err == nil {
				assert.Equal(t, digest, apikey.DigestOf(key))
			}
		})
	}
}

// FuzzFromHeader checks that any header value yields either a key or an error, that the error does not
// contain the value, and that the key found is the second field of the value.
func FuzzFromHeader(f *testing.F) {
	for _, seed := range []string{"Bearer " + key, "bearer  x=", "Basic a:b", "", "Bearer", "Bearer a,b", "Bearer \x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		digest, err := apikey.FromHeader([]string{value})
		if err != nil {
			assert.Equal(t, digest, apikey.Digest{})
			assert.Assert(t, len(value) < len("apikey") || !strings.Contains(err.Error(), value))
			return
		}
		fields := strings.Fields(value)
		assert.Equal(t, len(fields), 2)
		assert.Equal(t, digest, apikey.DigestOf(fields[1]))
	})
}
