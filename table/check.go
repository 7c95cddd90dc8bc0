package table

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Maximum values of the columns.
const (
	maxNameLength  = 128 // bytes
	maxWeight      = 1000
	maxShare       = 100    // percent
	maxConcurrency = 100000 // requests
	maxQueueTime   = 10 * time.Minute
)

// namePattern matches model names such as "qwen2.5:7b" and adapter names such as
// "hints/tohoku".
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)

// A CheckError describes an invalid cell of the table and the values that are allowed in it.
type CheckError struct {
	Row     string `json:"row"`
	Column  string `json:"column"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns the message that is shown to operators.
func (e CheckError) Error() string {
	return fmt.Sprintf("table: row %q, column %s: %q is not allowed; allowed: %s", e.Row, e.Column, e.Value, e.Allowed)
}

// A checker validates one row and collects its errors.
type checker struct {
	row  Row
	errs []CheckError
}

func (c *checker) require(ok bool, column string, value any, allowed string) {
	if ok {
		return
	}
	e := CheckError{Row: c.row.Name, Column: column, Value: fmt.Sprint(value), Allowed: allowed}
	c.errs = append(c.errs, e)
}

// Check validates all rows and returns every error found.
func (t *Table) Check() []CheckError {
	var errs []CheckError
	rows := t.Rows()
	for _, r := range rows {
		c := &checker{row: r}
		c.checkColumns()
		c.checkBase(t)
		errs = append(errs, c.errs...)
	}
	return append(errs, checkPaths(rows)...)
}

func (c *checker) checkColumns() {
	r := c.row
	c.require(len(r.Name) <= maxNameLength && namePattern.MatchString(r.Name), "name", r.Name,
		"1 to 128 letters, digits and . _ : / -, first a letter or digit")
	c.require(slices.Contains(Kinds, r.Kind), "kind", r.Kind, "model, adapter or service")
	c.require(slices.Contains(Tiers, r.Tier), "tier", r.Tier, "premium, standard or economy")
	c.require(r.Weight >= 1 && r.Weight <= maxWeight, "weight", r.Weight, "a whole number from 1 to 1000")
	c.require(r.Share >= 1 && r.Share <= maxShare, "share", r.Share, "a whole percentage from 1 to 100")
	c.require(r.Concurrency >= 0 && r.Concurrency <= maxConcurrency, "concurrency", r.Concurrency,
		"a whole number from 0 (no limit) to 100000")
	c.require(r.QueueTime >= 0 && r.QueueTime <= maxQueueTime, "queue_time", r.QueueTime,
		"a duration from 0s to 10m, such as 1500ms or 30s")
	c.require(!strings.ContainsAny(r.Organisation, "\r\n,\""), "customer", r.Organisation, "one line without comma or quote")
}

func (c *checker) checkBase(t *Table) {
	r := c.row
	if r.Kind != KindAdapter {
		c.require(r.Base == "", "base", r.Base, "nothing, unless the row is an adapter")
		return
	}
	base, ok := t.Row(r.Base)
	c.require(ok && base.Kind == KindModel, "base", r.Base, "the name of a row of kind model")
}

// checkPaths validates the paths of services, which must be well-formed, not reserved and
// unique.
func checkPaths(rows []Row) []CheckError {
	var errs []CheckError
	seen := make(map[string]string)
	for _, r := range rows {
		c := &checker{row: r}
		if r.Kind != KindService {
			c.require(r.Path == "", "path", r.Path, "nothing, unless the row is a service")
			errs = append(errs, c.errs...)
			continue
		}
		wellFormed := strings.HasPrefix(r.Path, "/") && len(r.Path) > 1 && !strings.HasSuffix(r.Path, "/")
		c.require(wellFormed, "path", r.Path, "a path such as /renewals, without a slash at its end")
		reserved := r.Path == "/v1" || strings.HasPrefix(r.Path, "/v1/") || strings.HasPrefix(r.Path, "/rockcleat")
		c.require(!reserved, "path", r.Path, "a path outside /v1 and /rockcleat, which the system answers itself")
		other, duplicate := seen[r.Path]
		c.require(!duplicate, "path", r.Path, "a path that no other row has; row "+other+" has it")
		seen[r.Path] = r.Name
		errs = append(errs, c.errs...)
	}
	return errs
}
