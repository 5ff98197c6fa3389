"""Each planted defect still applies to the tree. Whether the soak detects it: make soak-defects."""

from __future__ import annotations

import pytest

from standins.soak.defects import DEFECTS, ROOT, plant


@pytest.mark.parametrize("defect", DEFECTS, ids=[defect.name for defect in DEFECTS])
def test_each_defect_can_be_planted(defect, tmp_path):
    tree = plant(defect, tmp_path)
    for change in defect.changes:
        assert (ROOT / change.file).read_text().count(change.old) == 1, change
        source = (tree / change.file).read_text()
        assert change.new in source
        compile(source, change.file, "exec")
