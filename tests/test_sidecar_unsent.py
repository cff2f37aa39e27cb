from tests.test_sidecar import until, with_mesh


class FullStream:
    """Stream to another VM whose link has not carried an answer yet."""

    queued_bytes = 1_000_000

    def send(self, message):
        pass

    def close(self):
        pass


def test_a_stop_waits_for_answers_that_other_vms_have_not_got():
    """Guards against answers of backend servers that are lost as a process ends.

    A call counts as answered once its answer is queued; a full link carries it later.
    """

    async def check(_, vms, session):
        sidecar = vms[0].sidecar
        await until(sidecar.planned_stop.is_idle)
        sidecar.call_server._streams.add(FullStream())
        assert not sidecar.planned_stop.is_idle()

    with_mesh(check)


def test_records_that_came_from_another_vm_are_offered_on(monkeypatch):
    """Guards against a VM that stays behind as it reaches none that reads the store."""

    async def check(_, vms, session):
        sidecar = vms[0].sidecar
        encoder = sidecar.call_server._record_sender._encoder
        told = []
        announce = sidecar.call_server.announce_load
        monkeypatch.setattr(
            sidecar.call_server, "announce_load", lambda: told.append(announce())
        )
        data = encoder.pack(-1, [])
        position = sidecar.records.operator.position
        # As if the store had not been read here.
        sidecar.records.operator.position = -1
        assert sidecar._take_transfer(data)
        assert sidecar.records.operator.position == position
        assert told

    with_mesh(check)
