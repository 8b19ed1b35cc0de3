package cmds

import (
	"context"
	"fmt"

	"github.com/cobaltcroft/cobaltcroft/pkg/measure"
)

type prepareScaleCommand struct {
	Dir       string `arg:"" type:"path" help:"The folder to write to."`
	Instances int    `required:"" help:"The number of instances."`
	Domains   int    `default:"1" help:"The number of failure domains they stand in."`
	Endpoints int    `required:"" help:"The number of endpoint records."`
}

// Run writes the settings and prints a line for each process, like prepare.
func (c *prepareScaleCommand) Run() error {
	layout, err := measure.PrepareScale(c.Dir, c.Instances, c.Domains, c.Endpoints)
	if err != nil {
		return err
	}
	printProcesses(layout)
	return nil
}

func printProcesses(layout *measure.Layout) {
	for _, set := range layout.Sets {
		fmt.Println("cobaltcroft-standin", set.Site)
		for _, path := range set.Instances {
			fmt.Println("cobaltcroftd", path)
		}
	}
}

type scaleCommand struct {
	Dir string `arg:"" type:"path" help:"The folder that prepare-scale wrote."`
}

// Run measures and prints one line with the results.
func (c *scaleCommand) Run() error {
	layout, err := measure.ReadLayout(c.Dir)
	if err != nil {
		return err
	}
	result, err := measure.Scale(context.Background(), layout.Sets[0])
	if err != nil {
		return err
	}
	fmt.Println(result)
	return nil
}
