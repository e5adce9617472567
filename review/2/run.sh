#!/bin/sh
cd "$(dirname "$0")/../.." && exec target/review-standin hangup review/2/record.txt
