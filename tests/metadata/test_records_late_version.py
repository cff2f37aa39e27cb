from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.platform.store import KeyedRecord
from tests.metadata.test_records import configuration, with_records


def test_a_vm_that_starts_after_an_older_version_was_written_again_gets_the_newer():
    """Guards against a VM that stays on an old version that others have left.

    A write that was not answered may be done later. The store then keeps the older
    version as the newest record, and the position alone does not tell that it is older.
    """

    def check_running(running, _):
        running.take_operator_records([KeyedRecord("config", configuration(5), 10)], 10)
        running.take_operator_records([KeyedRecord("config", configuration(4), 12)], 12)
        assert running._configurations.current.number == 5

        def check_late(late, _):
            late.take_operator_records(
                [KeyedRecord("config", configuration(4), 12)], 12
            )
            data = TransferEncoder(running.operator).pack(late.operator.position, [])
            late.take_transfer(data)
            assert late._configurations.current.number == 5

        transfers.append(check_late)

    transfers = []
    with_records(check_running)
    with_records(transfers[0])
