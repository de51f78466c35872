package meter

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the output of Write.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// namePrefix is prepended to the name of every metric.
const namePrefix = "bamboo_"

// Label adds a label to the name of a metric, as in entry.requests{class="batch"}.
func Label(name, key, value string) string {
	return fmt.Sprintf("%s{%s=%q}", name, key, value)
}

// Write writes the metrics of a registry in the Prometheus text format, sorted by name.
func Write(w io.Writer, r metrics.Registry) error {
	var names []string
	byName := make(map[string]any)
	r.Each(func(name string, m any) {
		names = append(names, name)
		byName[name] = m
	})
	slices.Sort(names)
	var b strings.Builder
	lastFamily := ""
	for _, name := range names {
		s := parseSeries(name)
		family, kind := s.family(byName[name])
		if kind == "" {
			continue
		}
		if family != lastFamily {
			fmt.Fprintf(&b, "# TYPE %s %s\n", family, kind)
			lastFamily = family
		}
		s.write(&b, family, byName[name])
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// series is the Prometheus name of a metric and its labels without braces.
type series struct{ name, labels string }

func parseSeries(name string) series {
	name, labels, _ := strings.Cut(name, "{")
	name = strings.NewReplacer(".", "_", "-", "_").Replace(name)
	return series{namePrefix + name, strings.TrimSuffix(labels, "}")}
}

// family returns the Prometheus name of metric m, which is the series name with the suffix
// for the metric's type, and that type. Both are "" if the text format doesn't support m.
func (s series) family(m any) (name, kind string) {
	switch m.(type) {
	case metrics.Counter:
		return s.name + "_total", "counter"
	case metrics.Gauge, metrics.GaugeFloat64:
		return s.name, "gauge"
	case *DurationHistogram:
		return s.name + "_seconds", "histogram"
	default:
		return "", ""
	}
}

func (s series) write(b *strings.Builder, family string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(b, "%s%s %d\n", family, s.labelSet(""), m.Count())
	case metrics.Gauge:
		fmt.Fprintf(b, "%s%s %d\n", family, s.labelSet(""), m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(b, "%s%s %g\n", family, s.labelSet(""), m.Value())
	case *DurationHistogram:
		s.writeHistogram(b, family, m)
	}
}

func (s series) writeHistogram(b *strings.Builder, family string, h *DurationHistogram) {
	n := int64(0)
	for i, le := range h.bounds {
		n += h.counts[i].Load()
		fmt.Fprintf(b, "%s_bucket%s %d\n", family, s.labelSet(fmt.Sprintf("le=%q", fmt.Sprint(le.Seconds()))), n)
	}
	n += h.counts[len(h.bounds)].Load()
	fmt.Fprintf(b, "%s_bucket%s %d\n", family, s.labelSet(`le="+Inf"`), n)
	fmt.Fprintf(b, "%s_sum%s %g\n", family, s.labelSet(""), time.Duration(h.Sum()).Seconds())
	fmt.Fprintf(b, "%s_count%s %d\n", family, s.labelSet(""), n)
}

// labelSet returns the labels and extra, if any, in braces.
func (s series) labelSet(extra string) string {
	labels := s.labels
	if labels != "" && extra != "" {
		labels += ","
	}
	if labels += extra; labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
