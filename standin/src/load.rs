//! Module for open-loop load, whose requests start at set times whether or not earlier ones
//! are answered. It has no content.
