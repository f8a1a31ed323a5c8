"""behave hooks that stop the processes started by scenarios."""

from features.support.fleet import stop_all_fleets
from features.support.shared_fleets import stop_shared_fleets


def after_all(context):
    stop_shared_fleets()
    stop_all_fleets()


def before_scenario(context, scenario):
    context.fleet = None


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.fleet.stop()
