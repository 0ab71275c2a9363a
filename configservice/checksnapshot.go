package configservice

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

type snapshotKey struct {
	group  string
	number uint64
}

func (c *checker) checkSnapshots(snapshots []wireSnapshot) error {
	seen := make(map[snapshotKey]bool, len(snapshots))
	for i, s := range snapshots {
		path := fmt.Sprintf("snapshots[%d]", i)
		if s.Snapshot == 0 {
			return errors.Newf("%s: the snapshot number is 0; it must be above 0", path)
		}
		if err := checkName(path+" group", s.Group); err != nil {
			return err
		}
		key := snapshotKey{group: s.Group, number: s.Snapshot}
		if seen[key] {
			return errors.Newf("%s: group %q has snapshot %d twice", path, s.Group, s.Snapshot)
		}
		seen[key] = true
		if err := c.checkPartitions(path, s.Partitions); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkPartitions(path string, partitions []wirePartition) error {
	if len(partitions) == 0 {
		return errors.Newf("%s: there are no partitions", path)
	}
	seen := make(map[string]bool, len(partitions))
	for i, p := range partitions {
		path := fmt.Sprintf("%s partitions[%d] %q", path, i, p.Partition)
		if err := checkName(path, p.Partition); err != nil {
			return err
		}
		if seen[p.Partition] {
			return errors.Newf("%s: the partition is listed twice", path)
		}
		seen[p.Partition] = true
		if err := c.checkReplicas(path, p); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkReplicas(path string, partition wirePartition) error {
	if len(partition.Targets) == 0 {
		return errors.Newf("%s: there are no targets", path)
	}
	seen := make(map[string]bool, len(partition.Targets))
	for _, name := range partition.Targets {
		service, ok := c.services[name]
		if !ok {
			return errors.Newf("%s: target %q does not exist in targets", path, name)
		}
		if service != partition.Service {
			return errors.Newf("%s: target %q has service %q, the partition has %q",
				path, name, service, partition.Service)
		}
		if seen[name] {
			return errors.Newf("%s: target %q is listed twice", path, name)
		}
		seen[name] = true
	}
	return nil
}
