package table_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/table"
)

// TestMatch checks that the host's route with the longest prefix of the path is selected.
func TestMatch(t *testing.T) {
	r := table.NewRouting(1, []table.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "first", Host: "a.example", Prefix: "/x/"},
		{Name: "same prefix", Host: "a.example", Prefix: "/x/"},
		{Name: "longer", Host: "A.Example", Prefix: "/x/y/"},
		{Name: "no slash at its end", Host: "a.example", Prefix: "/z"},
		{Name: "other host", Host: "b.example", Prefix: "/only/"},
	}, nil, table.RequestLimits{})
	tests := map[string]struct {
		host, path string
		// want is the route's name, empty if no route matches.
		want string
	}{
		"longest":                   {host: "a.example", path: "/x/y/1", want: "longer"},
		"the prefix itself":         {host: "a.example", path: "/x/y/", want: "longer"},
		"less than the prefix":      {host: "a.example", path: "/x/y", want: "first"},
		"shorter":                   {host: "a.example", path: "/x/yy/", want: "first"},
		"shortest":                  {host: "a.example", path: "/q", want: "all"},
		"within a word":             {host: "a.example", path: "/zebra", want: "no slash at its end"},
		"another case and a port":   {host: "A.EXAMPLE:8080", path: "/x/1", want: "first"},
		"not of this host":          {host: "b.example", path: "/x/1"},
		"no such host":              {host: "c.example", path: "/"},
		"no path":                   {host: "a.example"},
		"of a host with one prefix": {host: "b.example", path: "/only/1", want: "other host"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := r.Match(test.host, test.path)
			assert.Equal(t, got.Name, test.want)
			assert.Equal(t, ok, test.want != "")
		})
	}
}
