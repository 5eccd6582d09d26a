#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: the same without the disruption.
number=8
. "$(dirname "$0")/../standins-2/run-case.sh"
