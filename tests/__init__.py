"""Tests of sequoiaseam."""
