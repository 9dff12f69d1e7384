// Package cvservicefiles implements the search for service files in directories.
package cvservicefiles

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvwire"
)

// FileName is the name of a service file, which is stored with the code of its service.
const FileName = "comfreyvale.yaml"

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Collector finds service files and checks them.
type Collector struct {
	// Directories lists the directories to search recursively. An entry may also be the path of a file.
	Directories []string
}

// Collect returns the service files if all are valid and define different services. Otherwise the error has a line for
// each problem. The error has KindNotFound if there are no files.
func (c *Collector) Collect() ([]*cvwire.ServiceFile, error) {
	var files []*cvwire.ServiceFile
	var problems []string
	paths, err := c.paths()
	if err != nil {
		return nil, err
	}
	byService := make(map[string]string)
	for _, p := range paths {
		f, err := readFile(p)
		if err != nil {
			problems = append(problems, err.Error())
			continue
		}
		if other, ok := byService[f.GetService()]; ok {
			problems = append(problems, p+":1:1: service: is named in "+other+" too")
			continue
		}
		byService[f.GetService()] = p
		files = append(files, f)
	}
	if len(problems) > 0 {
		return nil, fail("collect", comfreyvale.KindInvalid, errors.New(strings.Join(problems, "\n")))
	}
	return files, nil
}

func (c *Collector) paths() ([]string, error) {
	var paths []string
	for _, d := range c.Directories {
		err := filepath.WalkDir(d, func(path string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && (entry.Name() == FileName || path == d) {
				paths = append(paths, path)
			}
			return err
		})
		if err != nil {
			return nil, fail("collect", comfreyvale.KindNotFound, err)
		}
	}
	if len(paths) == 0 {
		return nil, fail("collect", comfreyvale.KindNotFound, errors.Errorf("no %s in %s or its subdirectories", FileName, strings.Join(c.Directories, ", ")))
	}
	return paths, nil
}

func readFile(path string) (*cvwire.ServiceFile, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := cvservice.Parse(path, content)
	if err != nil {
		return nil, err
	}
	return &cvwire.ServiceFile{Service: s.Name(), Path: path, Content: content}, nil
}
