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

// pages holds one page a topic.
//
//go:embed help/*.md
var pages embed.FS

// topicSettings is the page that the table of options writes.
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
		return errors.Wrapf(errUsage, "no page on %q; there are %s", topic, strings.Join(topics(), ", "))
	}
	if err != nil {
		return errors.Wrap(err, "page")
	}
	return write(w, string(b))
}

// topics lists the pages in the order of their names.
func topics() []string {
	files, err := fs.Glob(pages, "help/*.md")
	if err != nil {
		panic(err) // The pattern is a constant.
	}
	out := []string{topicSettings}
	for _, f := range files {
		out = append(out, strings.TrimSuffix(strings.TrimPrefix(f, "help/"), ".md"))
	}
	return out
}

// completeTopics writes the topics for the shell to choose from.
func completeTopics(_ context.Context, c *cli.Command) {
	_ = write(c.Root().Writer, strings.Join(topics(), "\n")+"\n") // The shell has left if this fails.
}
