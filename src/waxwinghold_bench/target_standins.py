"""Starts the stand-ins of targets, one process for each target or group."""

from .endpoints import free_addresses

STANDINS = {"model": "engine", "plain": "service"}


class TargetStandIns:
    """Starts, kills and replaces the stand-ins of targets.

    With ``lock_step``, one process is the stand-in of all targets of a group, and
    its ranks run in lock step. Every other target has a stand-in process of its
    own.

    Args:
        sheet: The sheet as plain types.
        endpoints: The agents' endpoints, by target.
        options: Command line options of the stand-ins, by kind of service.
        lock_step: Whether groups run in lock step.
        fleet: The ``Fleet``, which starts child processes and has an HTTP session.
    """

    def __init__(self, *, sheet, endpoints, options, lock_step, fleet):
        self._rows = {row["name"]: row for row in sheet["targets"]}
        self._kinds = {row["name"]: row["kind"] for row in sheet["services"]}
        self._experts_options = _experts_options(sheet)
        self._endpoints = endpoints
        self._options = options
        self._fleet = fleet
        self._groups = _groups(sheet) if lock_step else {}
        self._control_urls = {}

    def start_all(self):
        """Start every stand-in."""
        for group, targets in self._groups.items():
            self._start_group(group, targets)
        for target in self._rows:
            if self._group_of(target) is None:
                self._start_single(target)

    async def kill(self, target):
        """Kill the stand-in of a target."""
        group = self._group_of(target)
        if group is None:
            self._fleet.children[_child_name(target)].kill()
        else:
            await self._change_rank(group, target, "kill")

    async def replace(self, target):
        """Start a new stand-in without state for a killed target."""
        group = self._group_of(target)
        if group is None:
            self._start_single(target)
        else:
            await self._change_rank(group, target, "replace")

    def _group_of(self, target):
        group = self._rows[target].get("group", "")
        return group if group in self._groups else None

    def _start_single(self, target):
        row = self._rows[target]
        kind = self._kinds[row["service"]]
        options = dict(self._options[kind])
        if kind == "model":
            options |= _engine_options(row) | self._experts_options.get(
                row["service"], {}
            )
        self._fleet.start_standin(
            _child_name(target),
            STANDINS[kind],
            address=self._endpoints[target].http_address,
            **options,
        )

    def _start_group(self, group, targets):
        control_address = free_addresses(1)[0]
        self._control_urls[group] = f"http://{control_address}"
        addresses = [self._endpoints[target].http_address for target in targets]
        row = self._rows[targets[0]]
        options = self._options["model"] | _engine_options(row)
        options |= self._experts_options.get(row["service"], {})
        self._fleet.start_standin(
            _child_name(group),
            "lock_step",
            addresses=",".join(addresses),
            control=control_address,
            **options,
        )

    async def _change_rank(self, group, target, change):
        rank_index = self._groups[group].index(target)
        url = f"{self._control_urls[group]}/ranks/{rank_index}/{change}"
        async with self._fleet.session.post(url) as response:
            response.raise_for_status()


def _child_name(name):
    return f"{name}-standin"


def _engine_options(row):
    return {
        "model_version": row["version"],
        "adapters": ",".join(row.get("adapters", ())),
        "checks_orders": row.get("checks_orders", True),
        "slots_count": row.get("slots_count", 8),
    }


def _experts_options(sheet):
    """Return the engine options for the experts of the model, by service."""
    models = {row["name"]: row for row in sheet.get("models", ())}
    options = {}
    for service in sheet["services"]:
        model = models.get(service.get("model", ""), {})
        if model.get("experts_count"):
            counts = {key: model[key] for key in ("experts_count", "layers_count")}
            options[service["name"]] = {"experts": counts}
    return options


def _groups(sheet):
    """Return the names of the targets of each group, by group."""
    groups = {}
    for row in sheet["targets"]:
        if row.get("group"):
            groups.setdefault(row["group"], []).append(row["name"])
    return groups
