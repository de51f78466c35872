package cmds

import (
	"context"
	"embed"
	"io"
	"io/fs"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/conf"
)

// pages holds one help page per topic.
//
//go:embed help/*.md
var pages embed.FS

// topicSettings is the topic whose page is generated from the options of package conf.
const topicSettings = "settings"

func help(_ context.Context, c *cli.Command) error {
	if err := requireArgs(c, 0, 1, "one topic at most"); err != nil {
		return err
	}
	topic := c.Args().First()
	if topic == "" {
		topic = "bamboo"
	}
	return printTopic(c.Root().Writer, topic)
}

func printTopic(w io.Writer, topic string) error {
	if topic == topicSettings {
		return write(w, conf.Page())
	}
	b, err := pages.ReadFile("help/" + topic + ".md")
	if errors.Is(err, fs.ErrNotExist) {
		return errors.Wrapf(errUsage, "no page on %q; the topics are %s", topic, strings.Join(topics(), ", "))
	}
	if err != nil {
		return errors.Wrapf(err, "read help page %s", topic)
	}
	return write(w, string(b))
}

// topics returns settings and then the topics of the embedded pages in alphabetical order.
func topics() []string {
	files, err := fs.Glob(pages, "help/*.md")
	if err != nil {
		panic(err) // Impossible: the pattern is a valid constant.
	}
	out := []string{topicSettings}
	for _, f := range files {
		out = append(out, strings.TrimSuffix(strings.TrimPrefix(f, "help/"), ".md"))
	}
	return out
}

// completeTopics writes the topics for shell completion.
func completeTopics(_ context.Context, c *cli.Command) {
	_ = write(c.Root().Writer, strings.Join(topics(), "\n")+"\n") // Fails only if the shell has closed the pipe.
}
