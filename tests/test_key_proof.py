"""The proof that a host's configuration is the newest, over several hosts."""

import pytest

from fireflyspindle.core import events
from fireflyspindle.core.organisations import proof
import proof_fleet

LIMIT_US = proof_fleet.REVOCATION_MS * 1000
FOLLOWER = 3
SETTLE_US = 6_000_000


@pytest.fixture
def fleet():
    """Returns three readers and three followers that hold proofs."""
    started = proof_fleet.Fleet(hosts=6)
    started.run(SETTLE_US)
    assert all(host.may_serve("old") for host in started.hosts)
    return started


def revoke(fleet):
    """Withdraws a key; returns a check that it is not served for too long."""
    fleet.write(proof_fleet.document(2, "kept"))
    acknowledged_us = fleet.now_us

    def check():
        if fleet.now_us > acknowledged_us + LIMIT_US:
            late = [h.number for h in fleet.hosts if h.may_serve("old")]
            assert not late, (late, fleet.now_us - acknowledged_us)

    return check


def freeze_reader(fleet):
    """Suspends the primary reader for longer than the limit."""
    fleet.hosts[0].frozen = True
    return fleet.hosts[0].resume


def freeze_follower(fleet):
    """Suspends a follower for longer than the limit."""
    fleet.hosts[FOLLOWER].frozen = True
    return fleet.hosts[FOLLOWER].resume


def freeze_follower_that_asks(fleet):
    """Suspends a follower whose question is on its way."""
    asked = fleet.hosts[FOLLOWER].state.organisations.proof
    while not asked.asking:
        fleet.run(proof_fleet.TICK_US)
    return freeze_follower(fleet)


def cut_links(fleet):
    """Cuts the links of all readers; their lines wait there."""
    fleet.cut_links = {(r, h) for r in range(3) for h in range(6)}
    return fleet.cut_links.clear


def cut_follower(fleet):
    """Cuts a follower off from the readers and from the store."""
    fleet.cut_links = {(reader, FOLLOWER) for reader in range(3)}
    fleet.hosts[FOLLOWER].cut_from_store = True

    def heal():
        fleet.cut_links.clear()
        fleet.hosts[FOLLOWER].cut_from_store = False

    return heal


def cut_from_store(fleet):
    """Cuts every host off from the store."""
    for host in fleet.hosts:
        host.cut_from_store = True

    def heal():
        for host in fleet.hosts:
            host.cut_from_store = False

    return heal


@pytest.mark.parametrize(
    "harm",
    [
        freeze_reader,
        freeze_follower,
        freeze_follower_that_asks,
        cut_links,
        cut_follower,
        cut_from_store,
    ],
)
@pytest.mark.parametrize("fault_us", [1_500_000, 4_000_000, 12_000_000])
@pytest.mark.parametrize("before_us", [0, 700_000])
def test_no_fault_lets_a_withdrawn_key_work_for_longer(
    fleet, harm, fault_us, before_us
):
    # Guards against a proof that is renewed by what merely arrives.
    heal = harm(fleet)
    fleet.run(before_us)
    check = revoke(fleet)
    fleet.run(fault_us, check)
    heal()
    check()
    fleet.run(10_000_000, check)
    assert all(host.may_serve("kept") for host in fleet.hosts)


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_don_t_let_a_withdrawn_key_work_for_longer(seed):
    # Guards against combinations of suspensions and cuts not listed above.
    fleet = proof_fleet.Fleet(hosts=6, seed=seed)
    fleet.run(SETTLE_US)
    healing = []
    harms = [freeze_reader, freeze_follower, cut_links, cut_follower]
    check = None
    for step in range(40):
        if step == 10:
            check = revoke(fleet)
        if healing and fleet.random.random() < 0.5:
            healing.pop()()
        elif not healing and fleet.random.random() < 0.7:
            healing.append(fleet.random.choice(harms)(fleet))
        fleet.run(fleet.random.randrange(50_000, 900_000), check or bool)
    for heal in healing:
        heal()
    fleet.run(10_000_000, check)
    assert all(host.may_serve("kept") for host in fleet.hosts)


def test_proof_stays_well_below_the_limit_while_the_store_is_slow(fleet):
    # Guards against refusals of valid keys without any fault.
    ages_us = []

    def note_ages():
        ages_us.append([host.proof_age_us for host in fleet.hosts])

    fleet.store_reads.clear()
    fleet.run(30_000_000, note_ages)
    oldest_us = [max(ages) for ages in zip(*ages_us, strict=True)]
    assert max(oldest_us[:1]) <= 2_420_000
    assert max(oldest_us) <= 3_800_000, oldest_us
    # The other readers read such a slow store with or without keys, since
    # their takeover is due before its answers.
    assert all(fleet.store_reads[number] == 0 for number in range(FOLLOWER, 6))


def test_loss_of_the_primary_reader_refuses_no_valid_key(fleet):
    # Guards against a lapse while another reader takes over.
    fleet.hosts[0].frozen = True

    def check():
        assert all(host.may_serve("kept") for host in fleet.hosts[1:])

    fleet.run(15_000_000, check)


def test_follower_of_older_readers_reads_the_store_itself():
    # Guards against followers without a proof while builds are mixed.
    fleet = proof_fleet.Fleet(hosts=5)
    for host in fleet.hosts[:3]:
        host.old_build = True
    fleet.run(SETTLE_US)

    def check():
        assert fleet.hosts[FOLLOWER].may_serve("kept")

    fleet.store_reads.clear()
    fleet.run(20_000_000, check)
    assert 0 < fleet.store_reads[FOLLOWER] <= 10


def test_questions_are_few(fleet):
    # Guards against bursts of questions after failures.
    fleet.asks.clear()
    fleet.run(20_000_000)
    for number in range(FOLLOWER, 6):
        asks = [n for (host, _), n in fleet.asks.items() if host == number]
        assert 18 <= sum(asks) <= 24
    cut_links(fleet)
    fleet.asks.clear()
    fleet.run(10_000_000)
    asks = [n for (host, _), n in fleet.asks.items() if host == FOLLOWER]
    assert sum(asks) <= 30


def test_undecodable_newest_configuration_gives_no_proof(fleet):
    # Guards against serving keys that the newest configuration withdraws.
    host = fleet.hosts[0]
    host.cut_from_store = True
    fleet.run(1_300_000)
    before_us = host.state.organisations.proof.proven_us
    host.feed(
        events.ConfigurationRead, None, 1, None, newest_is_decodable=False
    )
    assert host.state.organisations.proof.proven_us == before_us
    host.feed(events.ConfigurationRead, None, 1, None)
    assert host.state.organisations.proof.proven_us == before_us


def test_truncated_read_gives_no_proof(fleet):
    # Guards against records that the store did not return for their size.
    host = fleet.hosts[0]
    before_us = host.state.organisations.proof.proven_us
    fleet.now_us += 500_000
    host.feed(events.ConfigurationRead, None, 1, None, is_complete=False)
    assert host.state.organisations.proof.proven_us == before_us


def test_answer_for_another_version_gives_no_proof(fleet):
    # Guards against a reader that has not received the newest version.
    host = fleet.hosts[FOLLOWER]
    before_us = host.state.organisations.proof.proven_us
    for version in (2, 0, None):
        host.feed(events.ConfigurationProofAnswered, fleet.now_us, version, 0)
    assert host.state.organisations.proof.proven_us == before_us


def test_loss_of_the_proof_is_logged_once_and_so_is_its_return(fleet):
    # Guards against a silent refusal, and against a line for each check.
    host = fleet.hosts[FOLLOWER]
    codes = []
    execute = host.execute

    def note_lines(emitted):
        codes.extend(getattr(effect, "code", "") for effect in emitted)
        execute(emitted)

    host.execute = note_lines
    heal = cut_follower(fleet)
    fleet.run(12_000_000)
    heal()
    fleet.run(5_000_000)
    seen = [code for code in codes if code.startswith("key_proof")]
    assert seen == ["key_proof_lost", "key_proof_regained"]


def test_margins_are_small():
    # Guards against refusing earlier than needed.
    host = proof_fleet.Fleet(hosts=1).hosts[0]
    assert LIMIT_US - proof.limit_us(host.state) <= 10_000
