package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// Sizes of the plot, in pixels.
const (
	barWidth   = 26
	barGap     = 6
	groupGap   = 40
	plotHeight = 220
	plotMargin = 60
)

// policyColours are the bars' colours, by policy.
var policyColours = map[string]string{"demand": "#1f6f54", "static": "#b9b9b9", "lru": "#c98f3a", "first-come": "#7a86b8"}

// writePlot draws the mean attainment of each load and policy as bars.
func writePlot(file string, all []runResult) error {
	var b strings.Builder
	x := plotMargin
	last := ""
	for i := 0; i < len(all); {
		j := i
		sum := 0.0
		for ; j < len(all) && sameCell(all[i], all[j]); j++ {
			sum += all[j].attainment()
		}
		group := all[i].user + " " + all[i].load
		if group != last {
			if last != "" {
				x += groupGap
			}
			fmt.Fprintf(&b, `<text x="%d" y="%d" font-size="12">%s</text>`+"\n", x, plotHeight+plotMargin+20, group)
			last = group
		}
		mean := sum / float64(j-i)
		h := int(mean * plotHeight)
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"><title>%s %.3f</title></rect>`+"\n",
			x, plotMargin+plotHeight-h, barWidth, h, policyColours[all[i].policy], all[i].policy, mean)
		fmt.Fprintf(&b, `<text x="%d" y="%d" font-size="9">%.2f</text>`+"\n", x, plotMargin+plotHeight-h-4, mean)
		x += barWidth + barGap
		i = j
	}
	lx := plotMargin
	for _, p := range []string{"demand", "static", "lru", "first-come"} {
		fmt.Fprintf(&b, `<rect x="%d" y="14" width="12" height="12" fill="%s"/><text x="%d" y="24" font-size="12">%s</text>`+"\n",
			lx, policyColours[p], lx+16, p)
		lx += 100
	}
	svg := fmt.Sprintf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif">`+
		"\n<text x=\"%d\" y=\"46\" font-size=\"12\">share of requests that meet their tier's target</text>\n%s</svg>\n",
		max(x+plotMargin, 500), plotHeight+2*plotMargin, plotMargin, b.String())
	return eris.Wrap(os.WriteFile(file, []byte(svg), 0o600), "bench: write plot")
}

func sameCell(a, b runResult) bool {
	return a.user == b.user && a.load == b.load && a.policy == b.policy
}
